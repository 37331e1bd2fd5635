package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rillyard.balancer.EndpointEntry.Condition;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** The hosts that a balancer keeps in memory. */
class HostSetTest {
    private static final String SAFE = "safe";
    private static final List<Condition> CONDITIONS = List.of(Condition.values());

    private final BalancerFixture fixture = new BalancerFixture();

    @Test
    void removedHostsAreForgotten() {
        HostSet hosts = new HostSet(
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)));
        SplittableRandom random = new SplittableRandom(1);
        List<EndpointEntry> three = BalancerFixture.hosts(3);
        hosts.apply(fixture.now, WatchEvent.FULL, three, random);
        EndpointEntry first = three.get(0);
        EndpointEntry gone =
                new EndpointEntry(first.id(), first.zone(), first.machineKind(), first.cell(), Condition.GONE, 0);
        hosts.apply(fixture.now, WatchEvent.DELTA, List.of(gone), random);
        assertThat(hosts.get(first.id())).isNull();
        hosts.apply(fixture.now, WatchEvent.FULL, List.of(three.get(2)), random);
        assertThat(hosts.get(three.get(1).id())).isNull();
        assertThat(hosts.get(three.get(2).id())).isNotNull();
    }

    /** A fleet of many hosts is released in steps: each step is a delta of few entries. */
    @Test
    void deltaCostsTimeInItsEntriesHoweverManyHostsThereAre() {
        int hostCount = 50_000;
        HostSet hosts = new HostSet(
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)));
        SplittableRandom random = new SplittableRandom(1);
        hosts.apply(fixture.now, WatchEvent.FULL, BalancerFixture.hosts(hostCount), random);
        assertTimeoutPreemptively(Duration.ofSeconds(20), () -> {
            for (int i = 0; i < hostCount; i++) {
                hosts.apply(fixture.now, WatchEvent.DELTA, List.of(entry(i, Condition.TERMINATING)), random);
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
            List<HostState> before = hosts.ready();
            Set<Long> expectedBefore = Set.copyOf(expected);
            List<EndpointEntry> entries = new ArrayList<>();
            for (long id : distinctIds(random, isFull ? 30 : 2)) {
                entries.add(entry(id, CONDITIONS.get(random.nextInt(CONDITIONS.size()))));
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
            hosts.apply(fixture.now, isFull ? WatchEvent.FULL : WatchEvent.DELTA, entries, random);
            assertThat(hosts.ready())
                    .extracting(HostState::id)
                    .containsExactlyElementsOf(expected.stream()
                            .sorted(Comparator.comparingLong(SplitMix64::ringPosition)
                                    .thenComparingLong(id -> id))
                            .toList());
            if (!expected.equals(expectedBefore)) {
                assertThat(hosts.ready()).isNotSameAs(before);
            }
        }
    }

    private static Set<Long> distinctIds(SplittableRandom random, int count) {
        Set<Long> ids = new HashSet<>();
        while (ids.size() < count) {
            ids.add((long) random.nextInt(40));
        }
        return ids;
    }

    private static EndpointEntry entry(long id, Condition condition) {
        return new EndpointEntry(id, null, "k", 0, condition, 0);
    }
}
