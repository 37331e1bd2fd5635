package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Tests the selection of a host, and the subset of hosts that it chooses from. */
class HostSelectorTest {
    private static final String SAFE = "safe";
    private final BalancerFixture fixture = new BalancerFixture();

    private Balancer balancer(Settings settings, List<EndpointEntry> hosts) {
        Balancer balancer = new Balancer(settings, 7, fixture);
        balancer.onStart(fixture.nowMillis);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.CACHED, hosts);
        return balancer;
    }

    private void serve(Balancer balancer, long id, double latencyMillis) {
        balancer.onRequest(fixture.nowMillis, BalancerFixture.request(id, SAFE, 800));
        BalancerFixture.Send send = fixture.lastSend();
        fixture.nowMillis += latencyMillis;
        balancer.onAttemptEnded(
                fixture.nowMillis, id, new AttemptResult(send.attempt(), AttemptOutcome.OK, latencyMillis, true, null));
    }

    /** If each of 1500 proxies connected to all of 40 hosts, together they would use up the hosts' connections. */
    @Test
    void manyProxiesOnFewHostsKeepSmallSubsets() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        Settings many = new Settings(
                settings.classes(), settings.tenants(), settings.limits(), settings.rules(), false, "a", 17, 1_500, 1);
        Balancer balancer = balancer(many, BalancerFixture.hosts(40));
        for (int i = 0; i < 500; i++) {
            serve(balancer, i, 10);
        }
        assertThat(fixture.sends.stream()
                        .map(BalancerFixture.Send::host)
                        .distinct()
                        .count())
                .isBetween(3L, 5L);
    }

    @Test
    void overloadedHealthyHostsDoNotShiftLoadToFailingOnes() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.AT_MOST_ONCE, Scope.ALL));
        Settings.RequestClass requestClass = settings.classes().get(0);
        HostSet hosts = new HostSet(settings);
        var random = new java.util.SplittableRandom(1);
        hosts.apply(fixture.nowMillis, WatchEvent.FULL, BalancerFixture.hosts(2), random);
        RetryPolicy retryPolicy = new RetryPolicy(settings.limits());
        OutlierDetector detector = new OutlierDetector(hosts, settings.meanLatencyObjectiveMillis(), random, fixture);
        AdmissionController admission = new AdmissionController(settings, random, fixture);
        LoadEstimator load = new LoadEstimator(settings);
        HostSelector selector = new HostSelector(settings, hosts, load, detector, retryPolicy, admission, random);
        RequestState request = new RequestState(1, new RequestClassStats(requestClass), fixture.nowMillis, 800, 1);
        request.limitExpectedLatency(280);
        for (int i = 0; i < 3; i++) {
            detector.onFailure(hosts.get(1), fixture.nowMillis, true);
        }
        assertThat(selector.select(request, fixture.nowMillis)).isSameAs(hosts.get(0));
        load.onQueuedResponse(hosts.get(0), 9, 100);
        load.onReport(
                hosts.get(0),
                fixture.nowMillis,
                BalancerFixture.reportOf(60),
                true); // the expected latency exceeds what the request permits
        assertThat(selector.select(request, fixture.nowMillis)).isNull();
        for (int i = 0; i < 3; i++) {
            detector.onFailure(hosts.get(0), fixture.nowMillis, true);
        }
        load.onReport(hosts.get(0), fixture.nowMillis, BalancerFixture.reportOf(0), true);
        assertThat(selector.select(request, fixture.nowMillis))
                .isNotNull(); // no host is healthy, so an unhealthy one is used
    }

    @Test
    void twoProxiesWithFewHostsKeepCountsEven() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        Settings two = new Settings(
                settings.classes(), settings.tenants(), settings.limits(), settings.rules(), false, "a", 0, 2, 1);
        Balancer balancer = balancer(two, BalancerFixture.hosts(8)); // all but host 4 are local
        Map<Long, Integer> counts = new HashMap<>();
        for (long id : new long[] {0, 1, 2, 3, 5, 6, 7}) {
            counts.put(id, 0);
        }
        int choicesAboveMinimum = 0;
        for (int i = 0; i < 84; i++) {
            int minimum = counts.values().stream().min(Integer::compare).orElseThrow();
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
            choicesAboveMinimum += counts.merge(fixture.lastSend().host(), 1, Integer::sum) > minimum + 1 ? 1 : 0;
        }
        assertThat(choicesAboveMinimum).isLessThan(12); // a seventh: the draw compares six of the seven local hosts
    }
}
