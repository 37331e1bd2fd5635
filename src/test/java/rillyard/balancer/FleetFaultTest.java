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

/** Troubles of many hosts at once, on a virtual clock: one proxy, hosts that answer as the test says. */
class FleetFaultTest {
    /** What a host does with an attempt; {@code after} is in ms, {@code null} result says nothing. */
    private record Reply(AttemptOutcome result, double after) {}

    private interface Hosts {
        Reply reply(long host, double now);
    }

    private record End(double at, long request, int number, AttemptOutcome result, double spent) {}

    private final BalancerFixture bench = new BalancerFixture();
    private final Settings settings = BalancerFixture.settings(
            BalancerFixture.type("claim", Settings.Semantics.AT_MOST_ONCE, Settings.Scope.ALL));
    private final Balancer balancer = new Balancer(settings, 11, bench);
    private final PriorityQueue<End> ends = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
    private final Map<Long, Integer> served = new HashMap<>();
    private int seen;
    private long next;

    /** Plays {@code ms} of one request every {@code gap} ms. */
    private void play(double ms, double gap, Hosts hosts) {
        double until = bench.now + ms;
        for (double at = bench.now; at < until; at += gap) {
            while (!ends.isEmpty() && ends.peek().at() <= at) {
                finish(ends.poll(), hosts);
            }
            bench.now = at;
            balancer.onRequest(at, BalancerFixture.request(next++, "claim", 800));
            take(hosts);
        }
        bench.now = until;
    }

    private void finish(End end, Hosts hosts) {
        bench.now = end.at();
        balancer.onAttemptEnded(
                end.at(),
                end.request(),
                new AttemptResult(end.number(), end.result(), end.spent(), end.result() == AttemptOutcome.OK, null));
        take(hosts);
    }

    private void take(Hosts hosts) {
        for (; seen < bench.sends.size(); seen++) {
            BalancerFixture.Send send = bench.sends.get(seen);
            Reply reply = hosts.reply(send.host(), send.at());
            served.merge(send.host(), reply.result() == AttemptOutcome.OK ? 1 : 0, Integer::sum);
            double spent = reply.result() == null ? 800 : reply.after();
            ends.add(new End(
                    send.at() + spent,
                    send.request(),
                    send.number(),
                    reply.result() == null ? AttemptOutcome.TIMEOUT : reply.result(),
                    spent));
        }
    }

    private long sentTo(Set<Long> hosts, double from, double to) {
        return bench.sends.stream()
                .filter(send -> hosts.contains(send.host()) && send.at() >= from && send.at() < to)
                .count();
    }

    private static Reply ok() {
        return new Reply(AttemptOutcome.OK, 100);
    }

    @Test
    void aZoneThatGoesSilentIsSparedAndTakenBackWhenItReturnsCold() {
        Set<Long> lost = Set.of(0L, 1L, 2L, 3L);
        balancer.onWatchEvent(bench.now, WatchEvent.CACHED, BalancerFixture.hosts(15));
        play(3_000, 10, (h, t) -> ok());
        double silent = bench.now;
        play(4_000, 10, (h, t) -> lost.contains(h) ? new Reply(null, 0) : ok());
        long even = 100 * lost.size() * 2 / 12; // of two seconds, to the twelve hosts of the own zone
        assertThat(sentTo(lost, silent + 2_000, silent + 4_000)).isLessThan(even / 4);
        assertThat(bench.refused).isEmpty(); // eight hosts in twelve have room
        double back = bench.now;
        List<EndpointEntry> cold = new ArrayList<>();
        lost.forEach(h -> cold.add(BalancerFixture.host(h, Condition.READY, back)));
        balancer.onWatchEvent(bench.now, WatchEvent.DELTA, cold);
        play(12_000, 10, (h, t) -> ok());
        for (long h : lost) {
            // One proxy alone: 3 x 0.38 of a warm host's 12 in 1.5 s; and warm ones in the end.
            assertThat(sentTo(Set.of(h), back, back + 1_500)).as("host %d", h).isLessThan(14);
            assertThat(sentTo(Set.of(h), back + 9_000, back + 12_000))
                    .as("host %d", h)
                    .isGreaterThan(10);
        }
        assertThat(bench.refused).isEmpty();
    }

    @Test
    void sixInTenReplacedInSevenSecondsWhileOneInFiveErrs() {
        SplittableRandom chance = new SplittableRandom(3);
        balancer.onWatchEvent(bench.now, WatchEvent.CACHED, BalancerFixture.hosts(20));
        Hosts hosts = (h, t) ->
                h % 100 >= 16 && h < 100 && chance.nextInt(2) == 0 ? new Reply(AttemptOutcome.ERROR, 10) : ok();
        play(3_000, 10, hosts);
        Map<Long, Double> drained = new HashMap<>();
        Set<Long> fresh = new HashSet<>();
        for (long old = 0; old < 12; old++) {
            long young = 100 + old;
            fresh.add(young);
            drained.put(old, bench.now);
            balancer.onWatchEvent(
                    bench.now,
                    WatchEvent.DELTA,
                    List.of(
                            BalancerFixture.host(old, Condition.TERMINATING, 0),
                            BalancerFixture.host(young, Condition.READY, bench.now)));
            play(580, 10, hosts);
            balancer.onWatchEvent(bench.now, WatchEvent.DELTA, List.of(BalancerFixture.host(old, Condition.GONE, 0)));
        }
        double done = bench.now;
        play(9_000, 10, hosts);
        drained.forEach((h, at) -> assertThat(sentTo(Set.of(h), at, Double.MAX_VALUE))
                .as("host %d", h)
                .isZero());
        long toFresh = sentTo(fresh, done, done + 9_000);
        assertThat(toFresh).isGreaterThan(900 * 12 / 20 / 2); // they are found and warmed
        fresh.removeIf(h -> h % 5 == 4); // of the other zone
        fresh.forEach(h -> assertThat(served.get(h)).as("host %d", h).isPositive());
        // A fifth of the hosts errs half of the time: a blind draw would lose a tenth of the requests.
        assertThat(bench.failed.size()).isLessThan((int) next / 20);
        assertThat(bench.refused.size()).isLessThan((int) next / 100);
    }

    /**
     * Half of the hosts start anew while most of the others lose what they get: the cold ones are needed most
     * just then, and are lent their part of what a host served before, not of what is served in the jam.
     */
    @Test
    void aJamOfTheWarmHostsDoesNotShrinkWhatColdOnesAreLent() {
        balancer.onWatchEvent(bench.now, WatchEvent.CACHED, BalancerFixture.hosts(15));
        play(10_000, 10, (h, t) -> ok());
        Set<Long> cold = Set.of(0L, 1L, 2L, 3L, 5L, 6L);
        double since = bench.now;
        cold.forEach(h -> balancer.onWatchEvent(
                since, WatchEvent.DELTA, List.of(BalancerFixture.host(h, Condition.READY, since))));
        play(4_000, 10, (h, t) -> cold.contains(h) ? ok() : new Reply(null, 0));
        // At most 1.5 times 0.3 to 0.65 of a warm host's 8.3 a second, 6 hosts, 4 s; a part is refused early.
        assertThat(sentTo(cold, since, since + 4_000)).isBetween(45L, 140L);
        cold.forEach(h -> assertThat(sentTo(Set.of(h), since, since + 1_500))
                .as("host %d", h)
                .isLessThan(14));
    }

    @Test
    void rareErrorsOfSoundHostsAreNoFalseAlarm() {
        SplittableRandom chance = new SplittableRandom(5);
        balancer.onWatchEvent(bench.now, WatchEvent.CACHED, BalancerFixture.hosts(15));
        play(60_000, 10, (h, t) -> chance.nextInt(300) == 0 ? new Reply(AttemptOutcome.ERROR, 10) : ok());
        assertThat(bench.logs).noneMatch(l -> l.contains("ejected"));
        assertThat(bench.refused).isEmpty();
        for (EndpointEntry entry : BalancerFixture.hosts(15)) {
            if ("a".equals(entry.zone())) {
                assertThat(served.get(entry.id())).as("host %d", entry.id()).isGreaterThan((int) next / 12 / 3);
            }
        }
    }
}
