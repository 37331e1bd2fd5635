package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** The choice among hosts, and the subset it is made from. */
class HostSelectorTest {
    private static final String SAFE = "safe";
    private final BalancerFixture fixture = new BalancerFixture();

    private Balancer balancer(Settings settings, List<EndpointEntry> hosts) {
        Balancer balancer = new Balancer(settings, 7, fixture);
        balancer.onStart(fixture.now);
        balancer.onWatchEvent(fixture.now, WatchEvent.CACHED, hosts);
        return balancer;
    }

    private void serve(Balancer balancer, long id, double spent) {
        balancer.onRequest(fixture.now, BalancerFixture.request(id, SAFE, 800));
        BalancerFixture.Send send = fixture.lastSend();
        fixture.now += spent;
        balancer.onAttemptEnded(
                fixture.now, id, new AttemptResult(send.number(), AttemptOutcome.OK, spent, true, null));
    }

    /** Many proxies must not use up the hosts' connections together. */
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
        Settings.RequestClass type = settings.classes().get(0);
        HostSet hosts = new HostSet(settings);
        var random = new java.util.SplittableRandom(1);
        hosts.apply(fixture.now, WatchEvent.FULL, BalancerFixture.hosts(2), random);
        RetryPolicy retryPolicy = new RetryPolicy(settings.limits());
        OutlierDetector detector = new OutlierDetector(hosts, settings.meanLatencyObjectiveMillis(), random, fixture);
        AdmissionController admission = new AdmissionController(settings, random, fixture);
        LoadEstimator load = new LoadEstimator(settings);
        HostSelector selector = new HostSelector(settings, hosts, load, detector, retryPolicy, admission, random);
        RequestState request = new RequestState(1, new RequestClassStats(type), fixture.now, 800, 1);
        request.limitExpectedLatency(280);
        for (int i = 0; i < 3; i++) {
            detector.onFailure(hosts.get(1), fixture.now, true);
        }
        assertThat(selector.select(request, fixture.now)).isSameAs(hosts.get(0));
        load.onQueuedResponse(hosts.get(0), 9, 100);
        load.onReport(
                hosts.get(0),
                fixture.now,
                BalancerFixture.reportOf(60),
                true); // its queue takes longer than the request has
        assertThat(selector.select(request, fixture.now)).isNull();
        for (int i = 0; i < 3; i++) {
            detector.onFailure(hosts.get(0), fixture.now, true);
        }
        load.onReport(hosts.get(0), fixture.now, BalancerFixture.reportOf(0), true);
        assertThat(selector.select(request, fixture.now))
                .isNotNull(); // nobody is healthy: somebody is better than none
    }

    @Test
    void twoProxiesWithFewHostsKeepCountsEven() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        Settings two = new Settings(
                settings.classes(), settings.tenants(), settings.limits(), settings.rules(), false, "a", 0, 2, 1);
        Balancer balancer = balancer(two, BalancerFixture.hosts(8)); // all but host 4 are near
        Map<Long, Integer> counts = new HashMap<>();
        for (long id : new long[] {0, 1, 2, 3, 5, 6, 7}) {
            counts.put(id, 0);
        }
        int missed = 0;
        for (int i = 0; i < 84; i++) {
            int least = counts.values().stream().min(Integer::compare).orElseThrow();
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
            missed += counts.merge(fixture.lastSend().host(), 1, Integer::sum) > least + 1 ? 1 : 0;
        }
        assertThat(missed).isLessThan(12); // one in seven, where the draw leaves one out
    }
}
