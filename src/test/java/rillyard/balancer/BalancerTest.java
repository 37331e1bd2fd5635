package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rillyard.balancer.EndpointEntry.Condition;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/**
 * Tests the basic decisions of a balancer: the test passes in each event with its time, and checks the actions that the
 * balancer requests.
 */
class BalancerTest {
    private static final String SAFE = "safe";
    private final BalancerFixture fixture = new BalancerFixture();

    private Balancer balancer(Settings settings, List<EndpointEntry> hosts) {
        Balancer balancer = new Balancer(settings, 7, fixture);
        balancer.onStart(fixture.nowMillis);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.CACHED, hosts);
        return balancer;
    }

    private Balancer balancerWithHosts(int hostCount) {
        return balancer(
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
                BalancerFixture.hosts(hostCount));
    }

    private void serve(Balancer balancer, long id, double latencyMillis) {
        balancer.onRequest(fixture.nowMillis, BalancerFixture.request(id, SAFE, 800));
        BalancerFixture.Send send = fixture.lastSend();
        fixture.nowMillis += latencyMillis;
        balancer.onAttemptEnded(
                fixture.nowMillis, id, new AttemptResult(send.attempt(), AttemptOutcome.OK, latencyMillis, true, null));
    }

    @Test
    void requestWithoutHostsIsRejected() {
        Balancer balancer = balancerWithHosts(0);
        balancer.onRequest(fixture.nowMillis, BalancerFixture.request(1, SAFE, 800));
        assertThat(fixture.rejected).containsExactly(1L);
    }

    @Test
    void requestsInFlightAreSpreadEvenly() {
        Balancer balancer = balancerWithHosts(4);
        Map<Long, Integer> counts = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
            counts.merge(fixture.lastSend().host(), 1, Integer::sum);
        }
        assertThat(counts.values()).allSatisfy(n -> assertThat(n).isBetween(7, 13));
    }

    @Test
    void unresponsiveHostGetsNoRequests() {
        Balancer balancer = balancerWithHosts(4);
        for (int i = 0; i < 200; i++) {
            serve(balancer, i, 10);
        }
        balancer.onRequest(fixture.nowMillis, BalancerFixture.request(1_000, SAFE, 800));
        long unresponsive = fixture.lastSend().host();
        fixture.nowMillis += 300;
        for (int i = 2_000; i < 2_100; i++) {
            serve(balancer, i, 1);
            assertThat(fixture.lastSend().host()).isNotEqualTo(unresponsive);
        }
    }

    @Test
    void fastFailingHostIsEjectedAndProbedAgain() {
        Balancer balancer = balancerWithHosts(5);
        long failingHost = 2;
        int firstSends = 0;
        int laterSends = 0;
        int sendsAfterRecovery = 0;
        for (int i = 0; i < 2_000; i++) {
            fixture.nowMillis += 5;
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
            for (int attempt = 0; attempt < 3; attempt++) {
                BalancerFixture.Send send = fixture.lastSend();
                if (send.requestId() != i || send.attempt() != attempt) {
                    break;
                }
                boolean fails = send.host() == failingHost && fixture.nowMillis < 7_000;
                if (send.host() == failingHost) {
                    firstSends += i < 100 ? 1 : 0;
                    laterSends += i >= 100 && fixture.nowMillis < 7_000 ? 1 : 0;
                    sendsAfterRecovery += fixture.nowMillis >= 7_000 ? 1 : 0;
                }
                balancer.onAttemptEnded(
                        fixture.nowMillis,
                        i,
                        new AttemptResult(attempt, fails ? AttemptOutcome.ERROR : AttemptOutcome.OK, 1, !fails, null));
            }
        }
        assertThat(firstSends).isLessThan(8);
        assertThat(laterSends).isBetween(1, 10);
        assertThat(sendsAfterRecovery).isGreaterThan(50);
    }

    @Test
    void localFailureIsRetriedThenRejectedAndEjectsNoHost() {
        Balancer balancer = balancerWithHosts(3);
        for (int i = 0; i < 60; i++) {
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
            int attempt = 0;
            while (fixture.lastSend().requestId() == i && fixture.lastSend().attempt() == attempt) {
                balancer.onAttemptEnded(
                        fixture.nowMillis,
                        i,
                        new AttemptResult(attempt++, AttemptOutcome.LOCAL_FAILURE, 0, false, null));
            }
            assertThat(attempt).isBetween(1, 3); // at most one attempt per host
        }
        assertThat(fixture.rejected).hasSize(60);
        assertThat(fixture.failed).isEmpty();
        assertThat(fixture.sends).hasSizeLessThan(60 + 10 + 60 / 5 + 1); // retries stay within the retry budget
        assertThat(fixture.logs).noneMatch(line -> line.startsWith("outlier: host ejected, "));
    }

    @Test
    void failureOfAllHostsEjectsFewAndKeepsServing() {
        Balancer balancer = balancerWithHosts(3);
        for (int i = 0; i < 60; i++) {
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
            balancer.onAttemptEnded(fixture.nowMillis, i, new AttemptResult(0, AttemptOutcome.ERROR, 1, true, null));
        }
        int sendsBefore = fixture.sends.size();
        balancer.onRequest(fixture.nowMillis, BalancerFixture.request(100, SAFE, 800));
        assertThat(fixture.sends).hasSizeGreaterThan(sendsBefore);
        balancer.onAttemptEnded(fixture.nowMillis, 100, new AttemptResult(0, AttemptOutcome.OK, 1, true, null));
        assertThat(fixture.logs)
                .filteredOn(line -> line.startsWith("outlier: host ejected, "))
                .hasSize(1);
        fixture.nowMillis += 20_000;
        for (int i = 200; i < 260; i++) {
            serve(balancer, i, 5);
        }
        assertThat(fixture.logs)
                .filteredOn(line -> line.startsWith("outlier: host readmitted, "))
                .hasSize(1);
    }

    /**
     * All hosts reject all requests as over their capacity. They are busy, not faulty, so none is ejected, and the
     * excess is rejected after few attempts.
     */
    @Test
    void hostsAtCapacityAreNotEjected() {
        Balancer balancer = balancerWithHosts(4);
        for (int i = 0; i < 60; i++) {
            fixture.nowMillis += 20;
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
            for (int attempt = 0;
                    attempt < 4
                            && fixture.lastSend().requestId() == i
                            && fixture.lastSend().attempt() == attempt;
                    attempt++) {
                balancer.onAttemptEnded(
                        fixture.nowMillis, i, new AttemptResult(attempt, AttemptOutcome.REJECTED, 1, false, null));
            }
        }
        assertThat(fixture.logs).noneMatch(line -> line.contains("ejected"));
        assertThat(fixture.rejected).hasSize(60);
        assertThat(fixture.sends.size()).isLessThan(150);
    }

    @Test
    void drainingHostGetsNoRequests() {
        Balancer balancer = balancerWithHosts(3);
        balancer.onWatchEvent(
                fixture.nowMillis, WatchEvent.DELTA, List.of(BalancerFixture.host(1, Condition.TERMINATING, 0)));
        for (int i = 0; i < 60; i++) {
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, SAFE, 800));
            assertThat(fixture.lastSend().host()).isNotEqualTo(1);
        }
    }

    @Test
    void restartedHostWarmsUpWithFewRequests() {
        Balancer balancer = balancerWithHosts(6);
        for (int i = 0; i < 1_000; i++) {
            serve(balancer, i, 4);
        }
        balancer.onWatchEvent(
                fixture.nowMillis,
                WatchEvent.DELTA,
                List.of(BalancerFixture.host(3, Condition.READY, fixture.nowMillis)));
        int sendsWhileWarmingUp = 0;
        for (int i = 1_000; i < 1_500; i++) {
            serve(balancer, i, 4);
            sendsWhileWarmingUp += fixture.lastSend().host() == 3 ? 1 : 0;
        }
        // An equal share would be 83 requests; the host has 30 to 50 percent of its full capacity.
        assertThat(sendsWhileWarmingUp).isBetween(5, 55);
    }

    @Test
    void atMostOnceRequestIsNotRetriedAfterTimeout() {
        Balancer balancer = balancer(
                BalancerFixture.settings(BalancerFixture.requestClass("once", Semantics.AT_MOST_ONCE, Scope.ALL)),
                BalancerFixture.hosts(4));
        balancer.onRequest(fixture.nowMillis, BalancerFixture.request(1, "once", 400));
        balancer.onAttemptEnded(
                fixture.nowMillis + 400, 1, new AttemptResult(0, AttemptOutcome.TIMEOUT, 400, false, null));
        assertThat(fixture.sends).hasSize(1);
        assertThat(fixture.failed).containsExactly(1L);
        balancer.onRequest(fixture.nowMillis, BalancerFixture.request(2, "once", 400));
        balancer.onAttemptEnded(fixture.nowMillis, 2, new AttemptResult(0, AttemptOutcome.REJECTED, 1, false, null));
        assertThat(fixture.sends).hasSize(3);
    }

    @Test
    void failedSubscriptionIsRetriedWithBackoff() {
        Balancer balancer = balancer(
                BalancerFixture.settings(
                        true, 4, true, BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
                BalancerFixture.hosts(2));
        assertThat(fixture.subscriptions).isEqualTo(1);
        double lastBackoffMillis = 0;
        for (int i = 0; i < 6; i++) {
            balancer.onWatchEvent(fixture.nowMillis, WatchEvent.FAILED, List.of());
            Map.Entry<Double, List<Long>> timer = fixture.timers.pollFirstEntry();
            lastBackoffMillis = timer.getKey() - fixture.nowMillis;
            fixture.nowMillis = timer.getKey();
            timer.getValue().forEach(token -> balancer.onTimer(fixture.nowMillis, token));
            assertThat(fixture.subscriptions).isEqualTo(i + 2);
        }
        // The backoff has grown. With 1 s to connect and 2.4 s for the response, it stays below the 6 s within which a
        // change of the list must be seen.
        assertThat(lastBackoffMillis).isBetween(700.0, 2_100.0);
    }

    @Test
    void subscriptionBackoffStaysWithinPollInterval() {
        for (double maxPollIntervalMillis : new double[] {0, 1_000, 10_000}) {
            Settings.Rules rules = new Settings.Rules(8_000, 0.3, 1_500, 3, maxPollIntervalMillis);
            double maxBackoffMillis = rules.pollIntervalMillis(Tuning.MAX_SUBSCRIBE_BACKOFF_MILLIS);
            assertThat(maxBackoffMillis)
                    .isEqualTo(maxPollIntervalMillis == 1_000 ? 500 : Tuning.MAX_SUBSCRIBE_BACKOFF_MILLIS);
            assertThat(1.5 * maxBackoffMillis).isLessThan(maxPollIntervalMillis == 0 ? 6_000 : maxPollIntervalMillis);
        }
    }

    @Test
    void sameSeedAndEventsGiveSameActions() {
        BalancerFixture other = new BalancerFixture();
        for (BalancerFixture each : List.of(fixture, other)) {
            Balancer balancer = new Balancer(
                    BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
                    3,
                    each);
            balancer.onWatchEvent(each.nowMillis, WatchEvent.FULL, BalancerFixture.hosts(9));
            for (int i = 0; i < 100; i++) {
                balancer.onRequest(each.nowMillis, BalancerFixture.request(i, SAFE, 800));
            }
        }
        assertThat(other.sends).isEqualTo(fixture.sends);
    }

    @Test
    void deadlineOfStreamedRequestRunsFromLastByte() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.AT_MOST_ONCE, Scope.ALL));
        Balancer balancer = balancer(settings, BalancerFixture.hosts(2));
        balancer.onRequest(fixture.nowMillis, BalancerFixture.request(1, SAFE, Double.POSITIVE_INFINITY));
        fixture.nowMillis += 60_000;
        balancer.onAttemptEnded(
                fixture.nowMillis, 1, new AttemptResult(0, AttemptOutcome.CONNECT_FAILED, 5, false, null));
        assertThat(fixture.sends).hasSize(2); // it may be sent to another host
        balancer.onRequestComplete(fixture.nowMillis, 1, 800);
        fixture.nowMillis += 900;
        balancer.onAttemptEnded(
                fixture.nowMillis, 1, new AttemptResult(1, AttemptOutcome.CONNECT_FAILED, 5, false, null));
        assertThat(fixture.rejected).containsExactly(1L); // the deadline has passed, and no host executed it
        assertThat(fixture.sends).hasSize(2);
    }
}
