package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What other proxies found of a host, and where a pool lies. */
class FleetEjectionTest {
    private final BalancerFixture bench = new BalancerFixture();
    private final Balancer b = new Balancer(
            BalancerFixture.settings(BalancerFixture.type("visit", Settings.Semantics.IDEMPOTENT, Settings.Scope.ALL)),
            1,
            bench);
    private long next;

    FleetEjectionTest() {
        b.onStart(bench.now);
    }

    private void hosts(int n) {
        b.onWatchEvent(bench.now, WatchEvent.FULL, BalancerFixture.hosts(n));
    }

    /** Hosts that get something of so many requests, each answered at once. */
    private Set<Long> used(int requests) {
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < requests; i++) {
            bench.now += 20;
            b.onRequest(bench.now, BalancerFixture.request(next, "visit", 800));
            used.add(bench.last().host());
            b.onAttemptEnded(bench.now + 5, next++, new AttemptResult(0, AttemptOutcome.OK, 5, true, null));
        }
        return used;
    }

    @Test
    void aHostThatTheFleetLeftGetsNothingUntilItsTrialAndIsBackAfterIt() {
        hosts(4);
        assertThat(used(50)).contains(2L);
        b.onFleetEjection(bench.now, 2, true, 10_000);
        assertThat(used(400)).doesNotContain(2L); // 8 s
        assertThat(used(200)).contains(2L);
        b.onFleetEjection(bench.now, 2, true, 60_000);
        assertThat(used(100)).doesNotContain(2L);
        b.onFleetEjection(bench.now, 2, false, 500);
        assertThat(used(100)).contains(2L);
    }

    @Test
    void nobodysWordHasMoreThanAPartOfTheHostsLeft() {
        hosts(4);
        for (long h = 0; h < 4; h++) {
            b.onFleetEjection(bench.now, h, true, 60_000);
        }
        assertThat(used(200)).hasSize(2); // two out of four are past three in ten
        b.onFleetEjection(bench.now, 99, true, 60_000);
        assertThat(used(200)).as("a host that no list names").hasSize(2);
    }

    @Test
    void aPoolLiesWhereItIsLaidAndGrowsWithItsWeight() {
        Settings settings = BalancerFixture.settings(
                BalancerFixture.type("visit", Settings.Semantics.IDEMPOTENT, Settings.Scope.ALL));
        List<EndpointEntry> all = BalancerFixture.hosts(40).stream()
                .map(entry ->
                        new EndpointEntry(entry.id(), "a", entry.machineKind(), entry.cell(), entry.condition(), 1, 0))
                .toList();
        b.onWatchEvent(bench.now, WatchEvent.FULL, all);
        Set<Long> first = used(300);
        assertThat(first).hasSizeBetween(5, 9);
        b.onSubsetPosition(new SubsetPosition(1, 2, 1, false));
        Set<Long> other = used(300);
        assertThat(other).hasSizeBetween(5, 9).doesNotContainAnyElementsOf(first);
        b.onSubsetPosition(new SubsetPosition(1, 2, 5, false));
        assertThat(used(2_000)).hasSizeGreaterThan(28);
        assertThat(settings.proxyIndex()).isZero();
    }

    /** Requests that a host gets in its first three seconds after a cold start, of 40 proxies that send six hosts 50 a second. */
    private static int firstOfCold(boolean coldFirst) {
        int got = 0;
        for (int k = 0; k < 40; k++) {
            BalancerFixture at = new BalancerFixture();
            Balancer one = new Balancer(
                    BalancerFixture.settings(
                            BalancerFixture.type("visit", Settings.Semantics.IDEMPOTENT, Settings.Scope.ALL)),
                    k,
                    at);
            one.onStart(at.now);
            one.onWatchEvent(at.now, WatchEvent.FULL, BalancerFixture.hosts(6));
            one.onSubsetPosition(new SubsetPosition(0, 1, 1, coldFirst));
            at.now += k * 20;
            double started = 31_000; // each has sent for half a minute by then
            for (int i = 0; at.now < started + 3_000; i++) {
                if (at.now >= started && at.now - 800 < started) {
                    one.onWatchEvent(
                            started,
                            WatchEvent.DELTA,
                            List.of(BalancerFixture.host(2, EndpointEntry.Condition.READY, started)));
                }
                one.onRequest(at.now, BalancerFixture.request(i, "visit", 800));
                got += at.now >= started && at.last().host() == 2 ? 1 : 0;
                one.onAttemptEnded(at.now + 5, i, new AttemptResult(0, AttemptOutcome.OK, 5, true, null));
                at.now += 800;
            }
        }
        return got;
    }

    @Test
    void whatAllLendAColdHostIsUsedWhereItWinsTies() {
        int byChance = firstOfCold(false);
        int first = firstOfCold(true);
        assertThat(first).isGreaterThan(byChance * 3 / 2);
        // Half of three times three to five tenths of its sixth of 50 a second, in three seconds: 15, and as much by
        // chance again.
        assertThat(first).isBetween(5, 25);
    }
}
