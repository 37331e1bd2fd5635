package rillyard.balancer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.balancer.EndpointEntry.Condition;
import rillyard.balancer.Settings.Scope;
import rillyard.balancer.Settings.Semantics;

/** The hosts that a balancer keeps in memory. */
class HostSetTest {
    private static final String SAFE = "safe";
    private final BalancerFixture fixture = new BalancerFixture();

    @Test
    void removedHostsAreForgotten() {
        HostSet hosts = new HostSet(
                BalancerFixture.settings(BalancerFixture.requestClass(SAFE, Semantics.IDEMPOTENT, Scope.ALL)));
        java.util.SplittableRandom random = new java.util.SplittableRandom(1);
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
}
