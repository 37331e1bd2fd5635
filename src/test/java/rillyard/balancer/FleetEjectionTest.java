package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Ejections decided by the fleet, and positions of the subset. */
class FleetEjectionTest {
    private final BalancerFixture fixture = new BalancerFixture();
    private final Balancer balancer = new Balancer(
            BalancerFixture.settings(
                    BalancerFixture.requestClass("visit", Settings.Semantics.IDEMPOTENT, Settings.Scope.ALL)),
            1,
            fixture);
    private long next;

    FleetEjectionTest() {
        balancer.onStart(fixture.now);
    }

    private void hosts(int count) {
        balancer.onWatchEvent(fixture.now, WatchEvent.FULL, BalancerFixture.hosts(count));
    }

    /** Hosts that get something of so many requests, each answered at once. */
    private Set<Long> used(int requests) {
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < requests; i++) {
            fixture.now += 20;
            balancer.onRequest(fixture.now, BalancerFixture.request(next, "visit", 800));
            used.add(fixture.lastSend().host());
            balancer.onAttemptEnded(fixture.now + 5, next++, new AttemptResult(0, AttemptOutcome.OK, 5, true, null));
        }
        return used;
    }

    @Test
    void fleetEjectedHostGetsNoRequestsUntilProbe() {
        hosts(4);
        assertThat(used(50)).contains(2L);
        balancer.onFleetEjection(fixture.now, 2, true, 10_000);
        assertThat(used(400)).doesNotContain(2L); // 8 s
        assertThat(used(200)).contains(2L);
        balancer.onFleetEjection(fixture.now, 2, true, 60_000);
        assertThat(used(100)).doesNotContain(2L);
        balancer.onFleetEjection(fixture.now, 2, false, 500);
        assertThat(used(100)).contains(2L);
    }

    @Test
    void fleetEjectionKeepsMaxEjectedFraction() {
        hosts(4);
        for (long host = 0; host < 4; host++) {
            balancer.onFleetEjection(fixture.now, host, true, 60_000);
        }
        assertThat(used(200)).hasSize(2); // two out of four are past three in ten
        balancer.onFleetEjection(fixture.now, 99, true, 60_000);
        assertThat(used(200)).as("a host that no list names").hasSize(2);
    }

    @Test
    void subsetFollowsPositionAndGrowsWithWeight() {
        Settings settings = BalancerFixture.settings(
                BalancerFixture.requestClass("visit", Settings.Semantics.IDEMPOTENT, Settings.Scope.ALL));
        List<EndpointEntry> all = BalancerFixture.hosts(40).stream()
                .map(entry ->
                        new EndpointEntry(entry.id(), "a", entry.machineKind(), entry.cell(), entry.condition(), 0))
                .toList();
        balancer.onWatchEvent(fixture.now, WatchEvent.FULL, all);
        Set<Long> first = used(300);
        assertThat(first).hasSizeBetween(5, 9);
        balancer.onSubsetPosition(new SubsetPosition(1, 2, 1, false));
        Set<Long> other = used(300);
        assertThat(other).hasSizeBetween(5, 9).doesNotContainAnyElementsOf(first);
        balancer.onSubsetPosition(new SubsetPosition(1, 2, 5, false));
        assertThat(used(2_000)).hasSizeGreaterThan(28);
        assertThat(settings.proxyIndex()).isZero();
    }

    /** Returns the requests to a host in its first three seconds, from 40 proxies that send six hosts 50 a second. */
    private static int countFirstSendsToWarmingHost(boolean preferWarmingUp) {
        int got = 0;
        for (int proxy = 0; proxy < 40; proxy++) {
            BalancerFixture fixture = new BalancerFixture();
            Balancer balancer = new Balancer(
                    BalancerFixture.settings(
                            BalancerFixture.requestClass("visit", Settings.Semantics.IDEMPOTENT, Settings.Scope.ALL)),
                    proxy,
                    fixture);
            balancer.onStart(fixture.now);
            balancer.onWatchEvent(fixture.now, WatchEvent.FULL, BalancerFixture.hosts(6));
            balancer.onSubsetPosition(new SubsetPosition(0, 1, 1, preferWarmingUp));
            fixture.now += proxy * 20;
            double started = 31_000; // each has sent for half a minute by then
            for (int i = 0; fixture.now < started + 3_000; i++) {
                if (fixture.now >= started && fixture.now - 800 < started) {
                    balancer.onWatchEvent(
                            started,
                            WatchEvent.DELTA,
                            List.of(BalancerFixture.host(2, EndpointEntry.Condition.READY, started)));
                }
                balancer.onRequest(fixture.now, BalancerFixture.request(i, "visit", 800));
                got += fixture.now >= started && fixture.lastSend().host() == 2 ? 1 : 0;
                balancer.onAttemptEnded(fixture.now + 5, i, new AttemptResult(0, AttemptOutcome.OK, 5, true, null));
                fixture.now += 800;
            }
        }
        return got;
    }

    @Test
    void slowStartAllowanceIsUsedWhereWarmingHostWinsTies() {
        int byChance = countFirstSendsToWarmingHost(false);
        int first = countFirstSendsToWarmingHost(true);
        assertThat(first).isGreaterThan(byChance * 3 / 2);
        // Half of three times three to five tenths of its sixth of 50 a second, in three seconds: 15, and as much by
        // chance again.
        assertThat(first).isBetween(5, 25);
    }
}
