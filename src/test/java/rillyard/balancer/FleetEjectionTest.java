package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that a balancer follows the ejections and the subset position that the fleet of proxies decides on. */
class FleetEjectionTest {
    private final BalancerFixture fixture = new BalancerFixture();
    private final Balancer balancer = new Balancer(
            BalancerFixture.settings(
                    BalancerFixture.requestClass("visit", Settings.Semantics.IDEMPOTENT, Settings.Scope.ALL)),
            1,
            fixture);
    private long nextId;

    FleetEjectionTest() {
        balancer.onStart(fixture.nowMillis);
    }

    private void listHosts(int count) {
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.FULL, BalancerFixture.hosts(count));
    }

    /** Sends {@code requests} requests, each answered after 5 ms; returns the hosts that got at least one of them. */
    private Set<Long> hostsUsed(int requests) {
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < requests; i++) {
            fixture.nowMillis += 20;
            balancer.onRequest(fixture.nowMillis, BalancerFixture.request(nextId, "visit", 800));
            used.add(fixture.lastSend().host());
            balancer.onAttemptEnded(
                    fixture.nowMillis + 5, nextId++, new AttemptResult(0, AttemptOutcome.OK, 5, true, null));
        }
        return used;
    }

    @Test
    void fleetEjectedHostGetsNoRequestsUntilProbe() {
        listHosts(4);
        assertThat(hostsUsed(50)).contains(2L);
        balancer.onFleetEjection(fixture.nowMillis, 2, true, 10_000);
        assertThat(hostsUsed(400)).doesNotContain(2L); // 8 s
        assertThat(hostsUsed(200)).contains(2L);
        balancer.onFleetEjection(fixture.nowMillis, 2, true, 60_000);
        assertThat(hostsUsed(100)).doesNotContain(2L);
        balancer.onFleetEjection(fixture.nowMillis, 2, false, 500);
        assertThat(hostsUsed(100)).contains(2L);
    }

    @Test
    void fleetEjectionKeepsMaxEjectedFraction() {
        listHosts(4);
        for (long host = 0; host < 4; host++) {
            balancer.onFleetEjection(fixture.nowMillis, host, true, 60_000);
        }
        assertThat(hostsUsed(200)).hasSize(2); // two of four already exceed the maximum fraction of 0.3
        balancer.onFleetEjection(fixture.nowMillis, 99, true, 60_000);
        assertThat(hostsUsed(200))
                .as("ejection of a host that is in no endpoint list")
                .hasSize(2);
    }

    @Test
    void subsetFollowsPositionAndGrowsWithWeight() {
        Settings settings = BalancerFixture.settings(
                BalancerFixture.requestClass("visit", Settings.Semantics.IDEMPOTENT, Settings.Scope.ALL));
        List<EndpointEntry> all = BalancerFixture.hosts(40).stream()
                .map(entry ->
                        new EndpointEntry(entry.id(), "a", entry.machineKind(), entry.cell(), entry.condition(), 0))
                .toList();
        balancer.onWatchEvent(fixture.nowMillis, WatchEvent.FULL, all);
        Set<Long> firstSubset = hostsUsed(300);
        assertThat(firstSubset).hasSizeBetween(5, 9);
        balancer.onSubsetPosition(new SubsetPosition(1, 2, 1, false));
        Set<Long> otherSubset = hostsUsed(300);
        assertThat(otherSubset).hasSizeBetween(5, 9).doesNotContainAnyElementsOf(firstSubset);
        balancer.onSubsetPosition(new SubsetPosition(1, 2, 5, false));
        assertThat(hostsUsed(2_000)).hasSizeGreaterThan(28);
        assertThat(settings.proxyIndex()).isZero();
    }

    /**
     * Returns the number of requests to a host in the first three seconds after its restart. Together 40 proxies send
     * their six hosts 50 requests per second.
     */
    private static int countFirstSendsToWarmingHost(boolean preferWarmingUp) {
        int sends = 0;
        for (int proxy = 0; proxy < 40; proxy++) {
            BalancerFixture fixture = new BalancerFixture();
            Balancer balancer = new Balancer(
                    BalancerFixture.settings(
                            BalancerFixture.requestClass("visit", Settings.Semantics.IDEMPOTENT, Settings.Scope.ALL)),
                    proxy,
                    fixture);
            balancer.onStart(fixture.nowMillis);
            balancer.onWatchEvent(fixture.nowMillis, WatchEvent.FULL, BalancerFixture.hosts(6));
            balancer.onSubsetPosition(new SubsetPosition(0, 1, 1, preferWarmingUp));
            fixture.nowMillis += proxy * 20;
            double startedAtMillis = 31_000; // by then, each proxy has sent for half a minute
            for (int i = 0; fixture.nowMillis < startedAtMillis + 3_000; i++) {
                if (fixture.nowMillis >= startedAtMillis && fixture.nowMillis - 800 < startedAtMillis) {
                    balancer.onWatchEvent(
                            startedAtMillis,
                            WatchEvent.DELTA,
                            List.of(BalancerFixture.host(2, EndpointEntry.Condition.READY, startedAtMillis)));
                }
                balancer.onRequest(fixture.nowMillis, BalancerFixture.request(i, "visit", 800));
                sends += fixture.nowMillis >= startedAtMillis
                                && fixture.lastSend().host() == 2
                        ? 1
                        : 0;
                balancer.onAttemptEnded(
                        fixture.nowMillis + 5, i, new AttemptResult(0, AttemptOutcome.OK, 5, true, null));
                fixture.nowMillis += 800;
            }
        }
        return sends;
    }

    @Test
    void slowStartAllowanceIsUsedWhereWarmingHostWinsTies() {
        int sendsWithRandomTies = countFirstSendsToWarmingHost(false);
        int sendsWithTiesWon = countFirstSendsToWarmingHost(true);
        assertThat(sendsWithTiesWon).isGreaterThan(sendsWithRandomTies * 3 / 2);
        // The allowance is 0.5 * 3 * (0.3 to 0.5 of its capacity) * 50 / 6 per second, 15 in three seconds, and chance
        // may add about as many.
        assertThat(sendsWithTiesWon).isBetween(5, 25);
    }
}
