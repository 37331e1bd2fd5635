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

/** Faults of many hosts at once on a virtual clock: one proxy, and hosts that answer as the test states. */
class FleetFaultTest {
    /** What a host does with an attempt; {@code after} is in ms, {@code null} result says nothing. */
    private record Reply(AttemptOutcome result, double after) {}

    private interface Hosts {
        Reply reply(long host, double now);
    }

    private record End(double at, long request, int number, AttemptOutcome result, double spent) {}

    private final BalancerFixture fixture = new BalancerFixture();
    private final Settings settings = BalancerFixture.settings(
            BalancerFixture.requestClass("claim", Settings.Semantics.AT_MOST_ONCE, Settings.Scope.ALL));
    private final Balancer balancer = new Balancer(settings, 11, fixture);
    private final PriorityQueue<End> pendingEnds = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
    private final Map<Long, Integer> served = new HashMap<>();
    private int handledSends;
    private long next;

    /** Plays {@code ms} of one request every {@code gap} ms. */
    private void play(double ms, double gap, Hosts hosts) {
        double until = fixture.now + ms;
        for (double at = fixture.now; at < until; at += gap) {
            while (!pendingEnds.isEmpty() && pendingEnds.peek().at() <= at) {
                finish(pendingEnds.poll(), hosts);
            }
            fixture.now = at;
            balancer.onRequest(at, BalancerFixture.request(next++, "claim", 800));
            take(hosts);
        }
        fixture.now = until;
    }

    private void finish(End end, Hosts hosts) {
        fixture.now = end.at();
        balancer.onAttemptEnded(
                end.at(),
                end.request(),
                new AttemptResult(end.number(), end.result(), end.spent(), end.result() == AttemptOutcome.OK, null));
        take(hosts);
    }

    private void take(Hosts hosts) {
        for (; handledSends < fixture.sends.size(); handledSends++) {
            BalancerFixture.Send send = fixture.sends.get(handledSends);
            Reply reply = hosts.reply(send.host(), send.at());
            served.merge(send.host(), reply.result() == AttemptOutcome.OK ? 1 : 0, Integer::sum);
            double spent = reply.result() == null ? 800 : reply.after();
            pendingEnds.add(new End(
                    send.at() + spent,
                    send.request(),
                    send.number(),
                    reply.result() == null ? AttemptOutcome.TIMEOUT : reply.result(),
                    spent));
        }
    }

    private long sentTo(Set<Long> hosts, double from, double to) {
        return fixture.sends.stream()
                .filter(send -> hosts.contains(send.host()) && send.at() >= from && send.at() < to)
                .count();
    }

    private static Reply ok() {
        return new Reply(AttemptOutcome.OK, 100);
    }

    @Test
    void unresponsiveZoneIsAvoidedAndWarmsUpOnReturn() {
        Set<Long> lost = Set.of(0L, 1L, 2L, 3L);
        balancer.onWatchEvent(fixture.now, WatchEvent.CACHED, BalancerFixture.hosts(15));
        play(3_000, 10, (host, time) -> ok());
        double faultStart = fixture.now;
        play(4_000, 10, (host, time) -> lost.contains(host) ? new Reply(null, 0) : ok());
        long even = 100L * lost.size() * 2 / 12; // of two seconds, to the twelve hosts of the own zone
        assertThat(sentTo(lost, faultStart + 2_000, faultStart + 4_000)).isLessThan(even / 4);
        assertThat(fixture.rejected).isEmpty(); // eight hosts in twelve have room
        double restartedAt = fixture.now;
        List<EndpointEntry> warmingUp = new ArrayList<>();
        lost.forEach(host -> warmingUp.add(BalancerFixture.host(host, Condition.READY, restartedAt)));
        balancer.onWatchEvent(fixture.now, WatchEvent.DELTA, warmingUp);
        play(12_000, 10, (host, time) -> ok());
        for (long host : lost) {
            // One proxy alone: 3 x 0.38 of a warm host's 12 in 1.5 s; and warm ones in the end.
            assertThat(sentTo(Set.of(host), restartedAt, restartedAt + 1_500))
                    .as("host %d", host)
                    .isLessThan(14);
            assertThat(sentTo(Set.of(host), restartedAt + 9_000, restartedAt + 12_000))
                    .as("host %d", host)
                    .isGreaterThan(10);
        }
        assertThat(fixture.rejected).isEmpty();
    }

    @Test
    void rollingReplacementWithFailingHostsKeepsServing() {
        SplittableRandom random = new SplittableRandom(3);
        balancer.onWatchEvent(fixture.now, WatchEvent.CACHED, BalancerFixture.hosts(20));
        Hosts hosts = (host, time) ->
                host % 100 >= 16 && host < 100 && random.nextInt(2) == 0 ? new Reply(AttemptOutcome.ERROR, 10) : ok();
        play(3_000, 10, hosts);
        Map<Long, Double> drained = new HashMap<>();
        Set<Long> newHosts = new HashSet<>();
        for (long oldHost = 0; oldHost < 12; oldHost++) {
            long newHost = 100 + oldHost;
            newHosts.add(newHost);
            drained.put(oldHost, fixture.now);
            balancer.onWatchEvent(
                    fixture.now,
                    WatchEvent.DELTA,
                    List.of(
                            BalancerFixture.host(oldHost, Condition.TERMINATING, 0),
                            BalancerFixture.host(newHost, Condition.READY, fixture.now)));
            play(580, 10, hosts);
            balancer.onWatchEvent(
                    fixture.now, WatchEvent.DELTA, List.of(BalancerFixture.host(oldHost, Condition.GONE, 0)));
        }
        double done = fixture.now;
        play(9_000, 10, hosts);
        drained.forEach((host, at) -> assertThat(sentTo(Set.of(host), at, Double.MAX_VALUE))
                .as("host %d", host)
                .isZero());
        long toFresh = sentTo(newHosts, done, done + 9_000);
        assertThat(toFresh).isGreaterThan(900 * 12 / 20 / 2); // they are found and warmed
        newHosts.removeIf(host -> host % 5 == 4); // of the other zone
        newHosts.forEach(
                host -> assertThat(served.get(host)).as("host %d", host).isPositive());
        // A fifth of the hosts errs half of the time: a blind draw would lose a tenth of the requests.
        assertThat(fixture.failed.size()).isLessThan((int) next / 20);
        assertThat(fixture.rejected.size()).isLessThan((int) next / 100);
    }

    /**
     * Half of the hosts restart while most of the others lose requests: the warming hosts are needed most just then, and get
     * their part of what a host served before rather than of what is served under overload.
     */
    @Test
    void overloadOfWarmHostsKeepsSlowStartAllowance() {
        balancer.onWatchEvent(fixture.now, WatchEvent.CACHED, BalancerFixture.hosts(15));
        play(10_000, 10, (host, time) -> ok());
        Set<Long> warmingUp = Set.of(0L, 1L, 2L, 3L, 5L, 6L);
        double since = fixture.now;
        warmingUp.forEach(host -> balancer.onWatchEvent(
                since, WatchEvent.DELTA, List.of(BalancerFixture.host(host, Condition.READY, since))));
        play(4_000, 10, (host, time) -> warmingUp.contains(host) ? ok() : new Reply(null, 0));
        // At most 1.5 times 0.3 to 0.65 of a warm host's 8.3 a second, 6 hosts, 4 s; a part is shed.
        assertThat(sentTo(warmingUp, since, since + 4_000)).isBetween(45L, 140L);
        warmingUp.forEach(host -> assertThat(sentTo(Set.of(host), since, since + 1_500))
                .as("host %d", host)
                .isLessThan(14));
    }

    @Test
    void rareErrorsDoNotEjectHosts() {
        SplittableRandom random = new SplittableRandom(5);
        balancer.onWatchEvent(fixture.now, WatchEvent.CACHED, BalancerFixture.hosts(15));
        play(60_000, 10, (host, time) -> random.nextInt(300) == 0 ? new Reply(AttemptOutcome.ERROR, 10) : ok());
        assertThat(fixture.logs).noneMatch(line -> line.contains("ejected"));
        assertThat(fixture.rejected).isEmpty();
        for (EndpointEntry entry : BalancerFixture.hosts(15)) {
            if ("a".equals(entry.zone())) {
                assertThat(served.get(entry.id())).as("host %d", entry.id()).isGreaterThan((int) next / 12 / 3);
            }
        }
    }
}
