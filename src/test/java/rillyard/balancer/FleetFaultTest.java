package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rillyard.balancer.EndpointEntry.Condition;

/**
 * Tests one proxy on a virtual clock while many hosts fail, restart or are replaced at once. Each test defines how the
 * hosts respond.
 */
class FleetFaultTest {
    /** The response of a host to an attempt, {@code afterMillis} after the send; no response if the outcome is null. */
    private record Reply(AttemptOutcome outcome, double afterMillis) {}

    private interface HostBehavior {
        Reply reply(long host, double sentAtMillis);
    }

    private record AttemptEnd(
            double atMillis, long requestId, int attempt, AttemptOutcome outcome, double latencyMillis) {}

    private final BalancerFixture fixture = new BalancerFixture();
    private final Settings settings = BalancerFixture.settings(
            BalancerFixture.requestClass("claim", Settings.Semantics.AT_MOST_ONCE, Settings.Scope.ALL));
    private final Balancer balancer = new Balancer(settings, 11, fixture);
    private final PriorityQueue<AttemptEnd> pendingEnds =
            new PriorityQueue<>((a, b) -> Double.compare(a.atMillis(), b.atMillis()));
    private final Map<Long, Integer> served = new HashMap<>();
    private int handledSends;
    private long nextId;

    /** Sends a request every {@code intervalMillis} for {@code durationMillis}. */
    private void run(double durationMillis, double intervalMillis, HostBehavior behavior) {
        double untilMillis = fixture.nowMillis + durationMillis;
        for (double atMillis = fixture.nowMillis; atMillis < untilMillis; atMillis += intervalMillis) {
            while (!pendingEnds.isEmpty() && pendingEnds.peek().atMillis() <= atMillis) {
                endAttempt(pendingEnds.poll(), behavior);
            }
            fixture.nowMillis = atMillis;
            balancer.onRequest(atMillis, BalancerFixture.request(nextId++, "claim", 800));
            replyToNewSends(behavior);
        }
        fixture.nowMillis = untilMillis;
    }

    private void endAttempt(AttemptEnd end, HostBehavior behavior) {
        fixture.nowMillis = end.atMillis();
        balancer.onAttemptEnded(
                end.atMillis(),
                end.requestId(),
                new AttemptResult(
                        end.attempt(), end.outcome(), end.latencyMillis(), end.outcome() == AttemptOutcome.OK, null));
        replyToNewSends(behavior);
    }

    private void replyToNewSends(HostBehavior behavior) {
        for (; handledSends < fixture.sends.size(); handledSends++) {
            BalancerFixture.Send send = fixture.sends.get(handledSends);
            Reply reply = behavior.reply(send.host(), send.atMillis());
            served.merge(send.host(), reply.outcome() == AttemptOutcome.OK ? 1 : 0, Integer::sum);
            double latencyMillis = reply.outcome() == null ? 800 : reply.afterMillis();
            pendingEnds.add(new AttemptEnd(
                    send.atMillis() + latencyMillis,
                    send.requestId(),
                    send.attempt(),
                    reply.outcome() == null ? AttemptOutcome.TIMEOUT : reply.outcome(),
                    latencyMillis));
        }
    }

    private long sentTo(Set<Long> hosts, double fromMillis, double toMillis) {
        return fixture.sends.stream()
                .filter(send ->
                        hosts.contains(send.host()) && send.atMillis() >= fromMillis && send.atMillis() < toMillis)
                .count();
    }

    private static Reply ok() {
        return new Reply(AttemptOutcome.OK, 100);
    }

    @Test
    void unresponsiveZoneIsAvoidedAndWarmsUpOnReturn() {
        Set<Long> unresponsive = Set.of(0L, 1L, 2L, 3L);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.CACHED, BalancerFixture.hosts(15));
        run(3_000, 10, (host, time) -> ok());
        double faultStartMillis = fixture.nowMillis;
        run(4_000, 10, (host, time) -> unresponsive.contains(host) ? new Reply(null, 0) : ok());
        long evenShare = 100L * unresponsive.size() * 2 / 12; // 100 requests per second for 2 s, 12 local hosts
        assertThat(sentTo(unresponsive, faultStartMillis + 2_000, faultStartMillis + 4_000))
                .isLessThan(evenShare / 4);
        assertThat(fixture.rejected).isEmpty(); // the other 8 of the 12 local hosts have the capacity
        double restartedAtMillis = fixture.nowMillis;
        List<EndpointEntry> warmingUp = new ArrayList<>();
        unresponsive.forEach(host -> warmingUp.add(BalancerFixture.host(host, Condition.READY, restartedAtMillis)));
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.DELTA, warmingUp);
        run(12_000, 10, (host, time) -> ok());
        for (long host : unresponsive) {
            // From one proxy, at most 3 * 0.38 of the 12 requests of a warm host in 1.5 s; in the end the host is warm.
            assertThat(sentTo(Set.of(host), restartedAtMillis, restartedAtMillis + 1_500))
                    .as("host %d", host)
                    .isLessThan(14);
            assertThat(sentTo(Set.of(host), restartedAtMillis + 9_000, restartedAtMillis + 12_000))
                    .as("host %d", host)
                    .isGreaterThan(10);
        }
        assertThat(fixture.rejected).isEmpty();
    }

    @Test
    void rollingReplacementWithFailingHostsKeepsServing() {
        SplittableRandom random = new SplittableRandom(3);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.CACHED, BalancerFixture.hosts(20));
        HostBehavior behavior = (host, time) ->
                host % 100 >= 16 && host < 100 && random.nextInt(2) == 0 ? new Reply(AttemptOutcome.ERROR, 10) : ok();
        run(3_000, 10, behavior);
        Map<Long, Double> drainedAtMillis = new HashMap<>();
        Set<Long> newHosts = new HashSet<>();
        for (long oldHost = 0; oldHost < 12; oldHost++) {
            long newHost = 100 + oldHost;
            newHosts.add(newHost);
            drainedAtMillis.put(oldHost, fixture.nowMillis);
            balancer.onWatchEvent(
                    fixture.nowMillis,
                    WatchEvent.DELTA,
                    List.of(
                            BalancerFixture.host(oldHost, Condition.TERMINATING, 0),
                            BalancerFixture.host(newHost, Condition.READY, fixture.nowMillis)));
            run(580, 10, behavior);
            balancer.onWatchEvent(
                    fixture.nowMillis, WatchEvent.DELTA, List.of(BalancerFixture.host(oldHost, Condition.GONE, 0)));
        }
        double replacedAtMillis = fixture.nowMillis;
        run(9_000, 10, behavior);
        drainedAtMillis.forEach((host, at) -> assertThat(sentTo(Set.of(host), at, Double.MAX_VALUE))
                .as("host %d", host)
                .isZero());
        long sendsToNewHosts = sentTo(newHosts, replacedAtMillis, replacedAtMillis + 9_000);
        assertThat(sendsToNewHosts).isGreaterThan(900 * 12 / 20 / 2); // the new hosts are used and have warmed up
        newHosts.removeIf(host -> host % 5 == 4); // these are in the other zone
        newHosts.forEach(
                host -> assertThat(served.get(host)).as("host %d", host).isPositive());
        // A fifth of the hosts fails half of its requests: without outlier detection a tenth of all would fail.
        assertThat(fixture.failed.size()).isLessThan((int) nextId / 20);
        assertThat(fixture.rejected.size()).isLessThan((int) nextId / 100);
    }

    /**
     * Half of the hosts restart while the others become unresponsive, so that the hosts that are warming up are needed
     * most. Their allowance must be a fraction of what a host served before, not of the little served under overload.
     */
    @Test
    void overloadOfWarmHostsKeepsSlowStartAllowance() {
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.CACHED, BalancerFixture.hosts(15));
        run(10_000, 10, (host, time) -> ok());
        Set<Long> warmingUp = Set.of(0L, 1L, 2L, 3L, 5L, 6L);
        double restartedAtMillis = fixture.nowMillis;
        warmingUp.forEach(host -> balancer.onWatchEvent(
                restartedAtMillis,
                WatchEvent.DELTA,
                List.of(BalancerFixture.host(host, Condition.READY, restartedAtMillis))));
        run(4_000, 10, (host, time) -> warmingUp.contains(host) ? ok() : new Reply(null, 0));
        // At most 1.5 * (0.3 to 0.65) * 8.3 requests per second of a warm host, for 6 hosts and 4 s; some are shed.
        assertThat(sentTo(warmingUp, restartedAtMillis, restartedAtMillis + 4_000))
                .isBetween(45L, 140L);
        warmingUp.forEach(host -> assertThat(sentTo(Set.of(host), restartedAtMillis, restartedAtMillis + 1_500))
                .as("host %d", host)
                .isLessThan(14));
    }

    @Test
    void rareErrorsDoNotEjectHosts() {
        SplittableRandom random = new SplittableRandom(5);
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.CACHED, BalancerFixture.hosts(15));
        run(60_000, 10, (host, time) -> random.nextInt(300) == 0 ? new Reply(AttemptOutcome.ERROR, 10) : ok());
        assertThat(fixture.logs).noneMatch(line -> line.contains("ejected"));
        assertThat(fixture.rejected).isEmpty();
        for (EndpointEntry entry : BalancerFixture.hosts(15)) {
            if ("a".equals(entry.zone())) {
                assertThat(served.get(entry.id())).as("host %d", entry.id()).isGreaterThan((int) nextId / 12 / 3);
            }
        }
    }
}
