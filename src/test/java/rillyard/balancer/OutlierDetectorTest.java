package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Unresponsive hosts, and those that lose only a part of their requests. */
class OutlierDetectorTest {
    private static final String SAFE = "safe";
    private static final String ONCE = "once";
    private final BalancerFixture fixture = new BalancerFixture();
    private long next;

    private Balancer balancer(Settings settings, List<EndpointEntry> hosts) {
        Balancer balancer = new Balancer(settings, 7, fixture);
        balancer.onStart(fixture.now);
        balancer.onWatchEvent(fixture.now, WatchEvent.CACHED, hosts);
        return balancer;
    }

    /** One request each 2 ms, served in 40 ms but for those that {@code lost} names at host 0. */
    private int countSendsToHostZero(Balancer balancer, java.util.function.IntPredicate lost) {
        java.util.PriorityQueue<Map.Entry<Double, BalancerFixture.Send>> due =
                new java.util.PriorityQueue<>(Map.Entry.comparingByKey());
        int sent = 0;
        for (int i = 0; i < 2_000; i++) {
            fixture.now += 2;
            while (!due.isEmpty() && due.peek().getKey() <= fixture.now) {
                BalancerFixture.Send send = due.poll().getValue();
                boolean late = fixture.now - send.at() >= 400;
                balancer.onAttemptEnded(
                        fixture.now,
                        send.request(),
                        new AttemptResult(
                                send.number(),
                                late ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK,
                                fixture.now - send.at(),
                                true,
                                null));
            }
            int before = fixture.sends.size();
            balancer.onRequest(fixture.now, BalancerFixture.request(next++, ONCE, 400));
            if (fixture.sends.size() > before) {
                BalancerFixture.Send send = fixture.lastSend();
                boolean isLost = send.host() == 0 && lost.test(sent++);
                due.add(Map.entry(fixture.now + (isLost ? 400 : 40), send));
            }
        }
        return sent;
    }

    @Test
    void streamedRequestNeitherMakesHostUnresponsiveNorHidesIt() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.AT_MOST_ONCE, Scope.ALL));
        RequestClassStats type = new RequestClassStats(settings.classes().get(0));
        HostSet hosts = new HostSet(settings);
        var random = new java.util.SplittableRandom(1);
        hosts.apply(fixture.now, WatchEvent.FULL, BalancerFixture.hosts(1), random);
        HostState host = hosts.get(0);
        RetryPolicy retryPolicy = new RetryPolicy(settings.limits());
        OutlierDetector detector = new OutlierDetector(hosts, settings.meanLatencyObjectiveMillis(), random, fixture);
        double at = fixture.now;
        retryPolicy.start(new RequestState(1, type, at, Double.POSITIVE_INFINITY, 1), host, at, Double.NaN);
        assertThat(detector.isUnresponsive(host, at + 60_000, 50)).isFalse();
        AttemptState whole = retryPolicy.start(new RequestState(2, type, at, 800, 1), host, at, Double.NaN);
        assertThat(detector.isUnresponsive(host, at + 1_000, 50)).isTrue();
        whole.end(AttemptOutcome.OK);
        assertThat(detector.isUnresponsive(host, at + 1_000, 50)).isFalse();
    }

    @Test
    void lossyHostIsUsedAndHangingHostIsEjected() {
        Settings once = BalancerFixture.settings(BalancerFixture.requestClass(ONCE, Semantics.AT_MOST_ONCE, Scope.ALL));
        int sendsToLossyHost = countSendsToHostZero(balancer(once, BalancerFixture.hosts(3)), count -> count % 3 == 2);
        assertThat(fixture.logs).noneMatch(line -> line.startsWith("outlier: host ejected, host=0 "));
        int sendsToHangingHost = countSendsToHostZero(balancer(once, BalancerFixture.hosts(3)), count -> true);
        assertThat(fixture.logs).anyMatch(line -> line.startsWith("outlier: host ejected, host=0 "));
        assertThat(sendsToLossyHost).isGreaterThan(2 * sendsToHangingHost);
    }
}
