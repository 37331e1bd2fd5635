package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rillyard.balancer.EndpointEntry.Condition;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Decisions of a balancer that is fed events by hand. */
class BalancerTest {
    private static final String SAFE = "safe";
    private final BalancerFixture fixture = new BalancerFixture();

    private Balancer balancer(Settings settings, List<EndpointEntry> hosts) {
        Balancer balancer = new Balancer(settings, 7, fixture);
        balancer.onStart(fixture.now);
        balancer.onWatchEvent(fixture.now, WatchEvent.CACHED, hosts);
        return balancer;
    }

    private Balancer safe(int hosts) {
        return balancer(
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
                BalancerFixture.hosts(hosts));
    }

    private void serve(Balancer balancer, long id, double spent) {
        balancer.onRequest(fixture.now, BalancerFixture.request(id, SAFE, 800));
        BalancerFixture.Send send = fixture.lastSend();
        fixture.now += spent;
        balancer.onAttemptEnded(
                fixture.now, id, new AttemptResult(send.number(), AttemptOutcome.OK, spent, true, null));
    }

    @Test
    void requestWithoutHostsIsRejected() {
        Balancer balancer = safe(0);
        balancer.onRequest(fixture.now, BalancerFixture.request(1, SAFE, 800));
        assertThat(fixture.rejected).containsExactly(1L);
    }

    @Test
    void openRequestsAreSpreadByOwnCount() {
        Balancer balancer = safe(4);
        Map<Long, Integer> counts = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
            counts.merge(fixture.lastSend().host(), 1, Integer::sum);
        }
        assertThat(counts.values()).allSatisfy(n -> assertThat(n).isBetween(7, 13));
    }

    @Test
    void unresponsiveHostGetsNoRequests() {
        Balancer balancer = safe(4);
        for (int i = 0; i < 200; i++) {
            serve(balancer, i, 10);
        }
        balancer.onRequest(fixture.now, BalancerFixture.request(1_000, SAFE, 800));
        long unresponsive = fixture.lastSend().host();
        fixture.now += 300;
        for (int i = 2_000; i < 2_100; i++) {
            serve(balancer, i, 1);
            assertThat(fixture.lastSend().host()).isNotEqualTo(unresponsive);
        }
    }

    @Test
    void fastFailingHostIsEjectedAndProbedAgain() {
        Balancer balancer = safe(5);
        long bad = 2;
        int first = 0;
        int later = 0;
        int trials = 0;
        for (int i = 0; i < 2_000; i++) {
            fixture.now += 5;
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
            for (int attempt = 0; attempt < 3; attempt++) {
                BalancerFixture.Send send = fixture.lastSend();
                if (send.request() != i || send.number() != attempt) {
                    break;
                }
                boolean fails = send.host() == bad && fixture.now < 7_000;
                if (send.host() == bad) {
                    first += i < 100 ? 1 : 0;
                    later += i >= 100 && fixture.now < 7_000 ? 1 : 0;
                    trials += fixture.now >= 7_000 ? 1 : 0;
                }
                balancer.onAttemptEnded(
                        fixture.now,
                        i,
                        new AttemptResult(attempt, fails ? AttemptOutcome.ERROR : AttemptOutcome.OK, 1, !fails, null));
            }
        }
        assertThat(first).isLessThan(8);
        assertThat(later).isBetween(1, 10);
        assertThat(trials).isGreaterThan(50);
    }

    @Test
    void localFailureIsRetriedThenRejectedAndEjectsNoHost() {
        Balancer balancer = safe(3);
        for (int i = 0; i < 60; i++) {
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
            int attempt = 0;
            while (fixture.lastSend().request() == i && fixture.lastSend().number() == attempt) {
                balancer.onAttemptEnded(
                        fixture.now, i, new AttemptResult(attempt++, AttemptOutcome.LOCAL_FAILURE, 0, false, null));
            }
            assertThat(attempt).isBetween(1, 3); // one attempt a host at most
        }
        assertThat(fixture.rejected).hasSize(60);
        assertThat(fixture.failed).isEmpty();
        assertThat(fixture.sends).hasSizeLessThan(60 + 10 + 60 / 5 + 1); // retries within their budget
        assertThat(fixture.logs).noneMatch(line -> line.startsWith("outlier: host ejected, "));
    }

    @Test
    void failureOfAllHostsEjectsFewAndKeepsServing() {
        Balancer balancer = safe(3);
        for (int i = 0; i < 60; i++) {
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
            balancer.onAttemptEnded(fixture.now, i, new AttemptResult(0, AttemptOutcome.ERROR, 1, true, null));
        }
        int before = fixture.sends.size();
        balancer.onRequest(fixture.now, BalancerFixture.request(100, SAFE, 800));
        assertThat(fixture.sends).hasSizeGreaterThan(before);
        balancer.onAttemptEnded(fixture.now, 100, new AttemptResult(0, AttemptOutcome.OK, 1, true, null));
        assertThat(fixture.logs)
                .filteredOn(line -> line.startsWith("outlier: host ejected, "))
                .hasSize(1);
        fixture.now += 20_000;
        for (int i = 200; i < 260; i++) {
            serve(balancer, i, 5);
        }
        assertThat(fixture.logs)
                .filteredOn(line -> line.startsWith("outlier: host readmitted, "))
                .hasSize(1);
    }

    /** Hosts at capacity are busy rather than faulty: none is ejected, and the excess is rejected early. */
    @Test
    void hostsAtCapacityAreNotEjected() {
        Balancer balancer = safe(4);
        for (int i = 0; i < 60; i++) {
            fixture.now += 20;
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
            for (int attempt = 0;
                    attempt < 4
                            && fixture.lastSend().request() == i
                            && fixture.lastSend().number() == attempt;
                    attempt++) {
                balancer.onAttemptEnded(
                        fixture.now, i, new AttemptResult(attempt, AttemptOutcome.REJECTED, 1, false, null));
            }
        }
        assertThat(fixture.logs).noneMatch(line -> line.contains("ejected"));
        assertThat(fixture.rejected).hasSize(60);
        assertThat(fixture.sends.size()).isLessThan(150);
    }

    @Test
    void drainingHostGetsNoRequests() {
        Balancer balancer = safe(3);
        balancer.onWatchEvent(
                fixture.now, WatchEvent.DELTA, List.of(BalancerFixture.host(1, Condition.TERMINATING, 0)));
        for (int i = 0; i < 60; i++) {
            balancer.onRequest(fixture.now, BalancerFixture.request(i, SAFE, 800));
            assertThat(fixture.lastSend().host()).isNotEqualTo(1);
        }
    }

    @Test
    void restartedHostWarmsUpWithFewRequests() {
        Balancer balancer = safe(6);
        for (int i = 0; i < 1_000; i++) {
            serve(balancer, i, 4);
        }
        balancer.onWatchEvent(
                fixture.now, WatchEvent.DELTA, List.of(BalancerFixture.host(3, Condition.READY, fixture.now)));
        int sendsWhileWarmingUp = 0;
        for (int i = 1_000; i < 1_500; i++) {
            serve(balancer, i, 4);
            sendsWhileWarmingUp += fixture.lastSend().host() == 3 ? 1 : 0;
        }
        // An even share would be 83; the host has 30 to 50 parts in 100 of its capacity.
        assertThat(sendsWhileWarmingUp).isBetween(5, 55);
    }

    @Test
    void atMostOnceRequestIsNotRetriedAfterTimeout() {
        Balancer balancer = balancer(
                BalancerFixture.settings(BalancerFixture.requestClass("once", Semantics.AT_MOST_ONCE, Scope.ALL)),
                BalancerFixture.hosts(4));
        balancer.onRequest(fixture.now, BalancerFixture.request(1, "once", 400));
        balancer.onAttemptEnded(fixture.now + 400, 1, new AttemptResult(0, AttemptOutcome.TIMEOUT, 400, false, null));
        assertThat(fixture.sends).hasSize(1);
        assertThat(fixture.failed).containsExactly(1L);
        balancer.onRequest(fixture.now, BalancerFixture.request(2, "once", 400));
        balancer.onAttemptEnded(fixture.now, 2, new AttemptResult(0, AttemptOutcome.REJECTED, 1, false, null));
        assertThat(fixture.sends).hasSize(3);
    }

    @Test
    void failedSubscriptionIsRetriedWithBackoff() {
        Balancer balancer = balancer(
                BalancerFixture.settings(
                        true, 4, true, BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)),
                BalancerFixture.hosts(2));
        assertThat(fixture.subscriptions).isEqualTo(1);
        double last = 0;
        for (int i = 0; i < 6; i++) {
            balancer.onWatchEvent(fixture.now, WatchEvent.FAILED, List.of());
            Map.Entry<Double, List<Long>> timer = fixture.timers.pollFirstEntry();
            last = timer.getKey() - fixture.now;
            fixture.now = timer.getKey();
            timer.getValue().forEach(t -> balancer.onTimer(fixture.now, t));
            assertThat(fixture.subscriptions).isEqualTo(i + 2);
        }
        // It grows, and with a connect of 1 s and an answer's 2.4 s it stays under the 6 s of a change.
        assertThat(last).isBetween(700.0, 2_100.0);
    }

    @Test
    void subscriptionBackoffStaysWithinPollInterval() {
        for (double askWithin : new double[] {0, 1_000, 10_000}) {
            Settings.Rules rules = new Settings.Rules(8_000, 0.3, 1_500, 3, askWithin);
            double most = rules.pollIntervalMillis(Tuning.MAX_SUBSCRIBE_BACKOFF_MILLIS);
            assertThat(most).isEqualTo(askWithin == 1_000 ? 500 : Tuning.MAX_SUBSCRIBE_BACKOFF_MILLIS);
            assertThat(1.5 * most).isLessThan(askWithin == 0 ? 6_000 : askWithin);
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
            balancer.onWatchEvent(each.now, WatchEvent.FULL, BalancerFixture.hosts(9));
            for (int i = 0; i < 100; i++) {
                balancer.onRequest(each.now, BalancerFixture.request(i, SAFE, 800));
            }
        }
        assertThat(other.sends).isEqualTo(fixture.sends);
    }

    @Test
    void deadlineOfStreamedRequestRunsFromLastByte() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.AT_MOST_ONCE, Scope.ALL));
        Balancer balancer = balancer(settings, BalancerFixture.hosts(2));
        balancer.onRequest(fixture.now, BalancerFixture.request(1, SAFE, Double.POSITIVE_INFINITY));
        fixture.now += 60_000;
        balancer.onAttemptEnded(fixture.now, 1, new AttemptResult(0, AttemptOutcome.CONNECT_FAILED, 5, false, null));
        assertThat(fixture.sends).hasSize(2); // it may still go to another one
        balancer.onRequestComplete(fixture.now, 1, 800);
        fixture.now += 900;
        balancer.onAttemptEnded(fixture.now, 1, new AttemptResult(1, AttemptOutcome.CONNECT_FAILED, 5, false, null));
        assertThat(fixture.rejected).containsExactly(1L); // its time is up, and it never ran
        assertThat(fixture.sends).hasSize(2);
    }
}
