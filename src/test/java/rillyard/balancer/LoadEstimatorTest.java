package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.balancer.EndpointEntry.Condition;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Tests the estimate of a host's queue, which combines its load reports with the attempts sent to it. */
class LoadEstimatorTest {
    private static final String SAFE = "safe";
    private final BalancerFixture fixture = new BalancerFixture();

    @Test
    void queueIncludesOwnAttemptsAndReportedQueueDrains() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        HostSet hosts = new HostSet(settings);
        hosts.apply(fixture.nowMillis, WatchEvent.FULL, BalancerFixture.hosts(1), new java.util.SplittableRandom(1));
        HostState host = hosts.get(0);
        LoadEstimator load = new LoadEstimator(settings);
        load.onQueuedResponse(host, 9, 100); // 10 ms per outstanding request
        load.onReport(host, fixture.nowMillis, BalancerFixture.reportOf(0), true);
        assertThat(load.expectedLatency(host, fixture.nowMillis)).isZero();
        RequestClassStats requestClass =
                new RequestClassStats(settings.classes().get(0));
        List<AttemptState> sent = new ArrayList<>(); // sent after the report
        for (int i = 0; i < 20; i++) {
            sent.add(new RequestState(i, requestClass, fixture.nowMillis, 800, 1)
                    .startAttempt(host, fixture.nowMillis, Double.NaN));
        }
        assertThat(load.expectedLatency(host, fixture.nowMillis)).isGreaterThanOrEqualTo(200);
        sent.forEach(attempt -> attempt.end(AttemptOutcome.OK));
        assertThat(host.inFlight()).isZero();
        load.onReport(host, fixture.nowMillis, BalancerFixture.reportOf(14), true);
        assertThat(load.expectedLatency(host, fixture.nowMillis)).isGreaterThanOrEqualTo(140);
        assertThat(load.expectedLatency(host, fixture.nowMillis + 150)).isZero();
    }

    @Test
    void restartedHostForgetsLoadReport() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        HostSet hosts = new HostSet(settings);
        LoadEstimator load = new LoadEstimator(settings);
        java.util.SplittableRandom random = new java.util.SplittableRandom(1);
        hosts.apply(fixture.nowMillis, WatchEvent.FULL, BalancerFixture.hosts(1), random);
        load.onReport(hosts.get(0), fixture.nowMillis, BalancerFixture.reportOf(5), true);
        hosts.apply(
                fixture.nowMillis,
                WatchEvent.DELTA,
                List.of(BalancerFixture.host(0, Condition.READY, fixture.nowMillis)),
                random);
        assertThat(load.expectedWait(hosts.get(0), fixture.nowMillis)).isFinite();
        assertThat(load.expectedLatency(hosts.get(0), fixture.nowMillis)).isZero();
    }
}
