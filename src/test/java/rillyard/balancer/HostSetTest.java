package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import rillyard.balancer.EndpointEntry.Condition;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** Tests that the host set follows the endpoint list, and that a delta takes no time per host of the fleet. */
class HostSetTest {
    private static final String SAFE = "safe";
    private static final int MAX_IDS = 40;
    private static final List<Condition> CONDITIONS = List.of(Condition.values());

    private final BalancerFixture fixture = new BalancerFixture();

    @Test
    void removedHostsAreForgotten() {
        HostSet hosts = new HostSet(
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)));
        SplittableRandom random = new SplittableRandom(1);
        List<EndpointEntry> three = BalancerFixture.hosts(3);
        hosts.apply(fixture.nowMillis, WatchEvent.FULL, three, random);
        EndpointEntry first = three.get(0);
        EndpointEntry gone =
                new EndpointEntry(first.id(), first.zone(), first.machineKind(), first.cell(), Condition.GONE, 0);
        hosts.apply(fixture.nowMillis, WatchEvent.DELTA, List.of(gone), random);
        assertThat(hosts.get(first.id())).isNull();
        hosts.apply(fixture.nowMillis, WatchEvent.FULL, List.of(three.get(2)), random);
        assertThat(hosts.get(three.get(1).id())).isNull();
        assertThat(hosts.get(three.get(2).id())).isNotNull();
    }

    /**
     * A release of a large fleet in steps arrives as many deltas of a few entries each. The time that a delta takes
     * must depend on its entries, not on the number of hosts.
     */
    @Test
    void timeOfDeltaDependsOnItsEntriesOnly() {
        int hostCount = 50_000;
        HostSet hosts = new HostSet(
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)));
        SplittableRandom random = new SplittableRandom(1);
        hosts.apply(fixture.nowMillis, WatchEvent.FULL, BalancerFixture.hosts(hostCount), random);
        assertTimeoutPreemptively(Duration.ofSeconds(20), () -> {
            for (int i = 0; i < hostCount; i++) {
                hosts.apply(fixture.nowMillis, WatchEvent.DELTA, List.of(entry(i, Condition.TERMINATING)), random);
            }
        });
        assertThat(hosts.ready()).isEmpty();
    }

    @Test
    void readyHostsAreThoseOfTheListInRingOrder() {
        HostSet hosts = new HostSet(
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)));
        SplittableRandom random = new SplittableRandom(17);
        Set<Long> expected = new HashSet<>();
        for (int event = 0; event < 5_000; event++) {
            boolean isFull = random.nextInt(20) == 0;
            long versionBefore = hosts.readyVersion();
            Set<Long> expectedBefore = Set.copyOf(expected);
            List<EndpointEntry> entries = new ArrayList<>();
            for (long id : distinctIds(random, isFull ? 30 : 2)) {
                entries.add(BalancerFixture.host(id, CONDITIONS.get(random.nextInt(CONDITIONS.size())), 0));
            }
            if (isFull) {
                expected.clear();
            }
            for (EndpointEntry entry : entries) {
                if (entry.condition() == Condition.READY) {
                    expected.add(entry.id());
                } else {
                    expected.remove(entry.id());
                }
            }
            hosts.apply(fixture.nowMillis, isFull ? WatchEvent.FULL : WatchEvent.DELTA, entries, random);
            assertThat(hosts.avoidedHostCount()).isEqualTo(countAvoided(hosts));
            assertThat(hosts.ready())
                    .extracting(HostState::id)
                    .containsExactlyElementsOf(expected.stream()
                            .sorted(Comparator.comparingLong(SplitMix64::ringPosition)
                                    .thenComparingLong(id -> id))
                            .toList());
            assertThat(hosts.readyLocal().hosts()).isEqualTo(readyOfZone(hosts, true));
            assertThat(hosts.readyRemote().hosts()).isEqualTo(readyOfZone(hosts, false));
            if (!expected.equals(expectedBefore)) {
                assertThat(hosts.readyVersion()).isGreaterThan(versionBefore);
            }
        }
    }

    /**
     * Counts the listed hosts that aren't ready or are ejected by visiting each, where the set derives the count from
     * its sizes. Ids are those of {@link #distinctIds}.
     */
    private static long countAvoided(HostSet hosts) {
        return LongStream.range(0, MAX_IDS)
                .mapToObj(hosts::get)
                .filter(host -> host != null
                        && host.isListed()
                        && (!host.isReady() || host.health().isEjected()))
                .count();
    }

    private static List<HostState> readyOfZone(HostSet hosts, boolean isLocal) {
        return hosts.ready().stream()
                .filter(host -> host.zone().equals("a") == isLocal)
                .toList();
    }

    /**
     * A hundred hosts drain one after the other, and each change is followed by a request. The subset selected for that
     * request must cost the same in a fleet of any size.
     */
    @Test
    void requestAfterDeltaVisitsSameNumberOfHostsInFleetOfAnySize() {
        long visitsOfSmallFleet = visitsOfRequestsAfterDeltas(200);
        assertThat(visitsOfSmallFleet).isPositive();
        assertThat(visitsOfRequestsAfterDeltas(3_200)).isEqualTo(visitsOfSmallFleet);
        assertThat(visitsOfRequestsAfterDeltas(20_000)).isEqualTo(visitsOfSmallFleet);
    }

    private long visitsOfRequestsAfterDeltas(int hostCount) {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        List<CountingList> rings = new ArrayList<>();
        HostSet hosts = new HostSet(settings, () -> newRing(rings));
        SubsetSelector subsets = new SubsetSelector(settings, hosts, new LoadEstimator(settings));
        SplittableRandom random = new SplittableRandom(1);
        hosts.apply(fixture.nowMillis, WatchEvent.FULL, BalancerFixture.hosts(hostCount), random);
        long visits = 0;
        for (int id = 0; id < 100; id++) {
            hosts.apply(fixture.nowMillis, WatchEvent.DELTA, List.of(entry(id, Condition.TERMINATING)), random);
            rings.forEach(ring -> ring.visits = 0);
            subsets.select(10, fixture.nowMillis);
            visits += visits(rings);
        }
        return visits;
    }

    @Test
    void ejectionVisitsNoHostButCountsTheEjectedOnes() {
        Settings settings =
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL));
        List<CountingList> rings = new ArrayList<>();
        HostSet hosts = new HostSet(settings, () -> newRing(rings));
        SplittableRandom random = new SplittableRandom(1);
        OutlierDetector outliers = new OutlierDetector(hosts, settings.meanLatencyObjectiveMillis(), random, fixture);
        hosts.apply(fixture.nowMillis, WatchEvent.FULL, BalancerFixture.hosts(100), random);
        rings.forEach(ring -> ring.visits = 0);
        for (long id = 0; id < 40; id++) {
            for (int failure = 0; failure < Tuning.EJECTION_FAILURES; failure++) {
                outliers.onFailure(hosts.get(id), fixture.nowMillis, true);
            }
        }
        assertThat(visits(rings)).isZero();
        assertThat(hosts.avoidedHostCount()).isEqualTo(30); // at most 0.3 of the hundred may be ejected
        assertThat(hosts.ejectedHostCount(hosts.get(5))).isEqualTo(29);
        outliers.onSuccess(hosts.get(0), fixture.nowMillis);
        hosts.apply(fixture.nowMillis, WatchEvent.DELTA, List.of(entry(1, Condition.TERMINATING)), random);
        hosts.apply(fixture.nowMillis, WatchEvent.DELTA, List.of(entry(2, Condition.GONE)), random);
        EndpointEntry restarted = BalancerFixture.host(3, Condition.READY, fixture.nowMillis);
        hosts.apply(fixture.nowMillis, WatchEvent.DELTA, List.of(restarted), random);
        assertThat(hosts.ejectedHostCount(null)).isEqualTo(26);
    }

    private static CountingList newRing(List<CountingList> rings) {
        CountingList ring = new CountingList();
        rings.add(ring);
        return ring;
    }

    private static long visits(List<CountingList> rings) {
        return rings.stream().mapToLong(ring -> ring.visits).sum();
    }

    /** A list that counts the reads of its elements. */
    private static final class CountingList extends AbstractList<HostState> {
        private final List<HostState> hosts = new ArrayList<>();
        private long visits;

        @Override
        public HostState get(int index) {
            visits++;
            return hosts.get(index);
        }

        @Override
        public int size() {
            return hosts.size();
        }

        @Override
        public void add(int index, HostState host) {
            hosts.add(index, host);
        }

        @Override
        public HostState remove(int index) {
            return hosts.remove(index);
        }
    }

    private static Set<Long> distinctIds(SplittableRandom random, int count) {
        Set<Long> ids = new HashSet<>();
        while (ids.size() < count) {
            ids.add((long) random.nextInt(MAX_IDS));
        }
        return ids;
    }

    private static EndpointEntry entry(long id, Condition condition) {
        return new EndpointEntry(id, null, "k", 0, condition, 0);
    }
}
