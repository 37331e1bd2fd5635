package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.balancer.EndpointEntry.Condition;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Estimates of a host's queue from its load reports and from what was sent to it. */
class LoadEstimatorTest {
    private static final String SAFE = "safe";
    private final BalancerFixture fixture = new BalancerFixture();

    @Test
    void queueIncludesOwnAttemptsAndReportedQueueDrains() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        HostSet hosts = new HostSet(settings);
        hosts.apply(fixture.now, WatchEvent.FULL, BalancerFixture.hosts(1), new java.util.SplittableRandom(1));
        HostState host = hosts.get(0);
        LoadEstimator load = new LoadEstimator(settings);
        load.onQueuedResponse(host, 9, 100); // 10 ms for each request held
        load.onReport(host, fixture.now, BalancerFixture.reportOf(0), true);
        assertThat(load.expectedLatency(host, fixture.now)).isZero();
        RequestClassStats type = new RequestClassStats(settings.classes().get(0));
        List<AttemptState> sent = new ArrayList<>(); // the report is older than these
        for (int i = 0; i < 20; i++) {
            sent.add(new RequestState(i, type, fixture.now, 800, 1).startAttempt(host, fixture.now, Double.NaN));
        }
        assertThat(load.expectedLatency(host, fixture.now)).isGreaterThanOrEqualTo(200);
        sent.forEach(attempt -> attempt.end(AttemptOutcome.OK));
        assertThat(host.inFlight()).isZero();
        load.onReport(host, fixture.now, BalancerFixture.reportOf(14), true);
        assertThat(load.expectedLatency(host, fixture.now)).isGreaterThanOrEqualTo(140);
        assertThat(load.expectedLatency(host, fixture.now + 150)).isZero();
    }

    @Test
    void restartedHostForgetsLoadReport() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        HostSet hosts = new HostSet(settings);
        LoadEstimator load = new LoadEstimator(settings);
        java.util.SplittableRandom random = new java.util.SplittableRandom(1);
        hosts.apply(fixture.now, WatchEvent.FULL, BalancerFixture.hosts(1), random);
        load.onReport(hosts.get(0), fixture.now, BalancerFixture.reportOf(5), true);
        hosts.apply(
                fixture.now, WatchEvent.DELTA, List.of(BalancerFixture.host(0, Condition.READY, fixture.now)), random);
        assertThat(load.expectedWait(hosts.get(0), fixture.now)).isFinite();
        assertThat(load.expectedLatency(hosts.get(0), fixture.now)).isZero();
    }
}
