package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Tests that an unresponsive host is detected and ejected, while one that loses some of its requests is still used. */
class OutlierDetectorTest {
    private static final String SAFE = "safe";
    private static final String ONCE = "once";
    private final BalancerFixture fixture = new BalancerFixture();
    private long nextId;

    private Balancer balancer(Settings settings, List<EndpointEntry> hosts) {
        Balancer balancer = new Balancer(settings, 7, fixture);
        balancer.onStart(fixture.nowMillis);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.CACHED, hosts);
        return balancer;
    }

    /**
     * Sends a request every 2 ms and returns the number of sends to host 0. Responses take 40 ms; the sends to host 0
     * whose number matches {@code lost} get none and time out.
     */
    private int countSendsToHostZero(Balancer balancer, java.util.function.IntPredicate lost) {
        java.util.PriorityQueue<Map.Entry<Double, BalancerFixture.Send>> due =
                new java.util.PriorityQueue<>(Map.Entry.comparingByKey());
        int sent = 0;
        for (int i = 0; i < 2_000; i++) {
            fixture.nowMillis += 2;
            while (!due.isEmpty() && due.peek().getKey() <= fixture.nowMillis) {
                BalancerFixture.Send send = due.poll().getValue();
                boolean timesOut = fixture.nowMillis - send.atMillis() >= 400;
                balancer.onAttemptEnded(
                        fixture.nowMillis,
                        send.requestId(),
                        new AttemptResult(
                                send.attempt(),
                                timesOut ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK,
                                fixture.nowMillis - send.atMillis(),
                                true,
                                null));
            }
            int sendsBefore = fixture.sends.size();
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(nextId++, ONCE, 400));
            if (fixture.sends.size() > sendsBefore) {
                BalancerFixture.Send send = fixture.lastSend();
                boolean isLost = send.host() == 0 && lost.test(sent++);
                due.add(Map.entry(fixture.nowMillis + (isLost ? 400 : 40), send));
            }
        }
        return sent;
    }

    @Test
    void streamedRequestNeitherMakesHostUnresponsiveNorHidesIt() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.AT_MOST_ONCE, Scope.ALL));
        RequestClassStats requestClass =
                new RequestClassStats(settings.classes().get(0));
        HostSet hosts = new HostSet(settings);
        var random = new java.util.SplittableRandom(1);
        hosts.apply(fixture.nowMillis, WatchEvent.FULL, BalancerFixture.hosts(1), random);
        HostState host = hosts.get(0);
        RetryPolicy retryPolicy = new RetryPolicy(settings.limits());
        OutlierDetector detector = new OutlierDetector(hosts, settings.meanLatencyObjectiveMillis(), random, fixture);
        double startMillis = fixture.nowMillis;
        retryPolicy.start(
                new RequestState(1, requestClass, startMillis, Double.POSITIVE_INFINITY, 1),
                host,
                startMillis,
                Double.NaN);
        assertThat(detector.isUnresponsive(host, startMillis + 60_000, 50)).isFalse();
        AttemptState wholeRequest = retryPolicy.start(
                new RequestState(2, requestClass, startMillis, 800, 1), host, startMillis, Double.NaN);
        assertThat(detector.isUnresponsive(host, startMillis + 1_000, 50)).isTrue();
        wholeRequest.end(AttemptOutcome.OK);
        assertThat(detector.isUnresponsive(host, startMillis + 1_000, 50)).isFalse();
    }

    @Test
    void hostWithSomeLossesIsUsedAndUnresponsiveHostIsEjected() {
        Settings once = BalancerFixture.settings(BalancerFixture.requestClass(ONCE, Semantics.AT_MOST_ONCE, Scope.ALL));
        int sendsToLossyHost = countSendsToHostZero(balancer(once, BalancerFixture.hosts(3)), count -> count % 3 == 2);
        assertThat(fixture.logs).noneMatch(line -> line.startsWith("outlier: host ejected, host=0 "));
        int sendsToUnresponsiveHost = countSendsToHostZero(balancer(once, BalancerFixture.hosts(3)), count -> true);
        assertThat(fixture.logs).anyMatch(line -> line.startsWith("outlier: host ejected, host=0 "));
        assertThat(sendsToLossyHost).isGreaterThan(2 * sendsToUnresponsiveHost);
    }
}
