package rillyard.proxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.balancer.EndpointEntry;
import rillyard.endpoints.DisabledHosts;

/** The hosts of the endpoint list by name and id. */
class EndpointRegistryTest {
    private final EndpointRegistry registry = new EndpointRegistry(0, new DisabledHosts());

    @Test
    void logLineOfBalancerNamesHostInPlaceOfItsId() {
        long id = announce("s-17");

        assertThat(registry.replaceHostId("outlier: host ejected, host=" + id + " failures=3 backoff_ms=900"))
                .isEqualTo("outlier: host ejected, host=s-17 failures=3 backoff_ms=900");
        assertThat(registry.replaceHostId("outlier: host readmitted, host=" + id))
                .isEqualTo("outlier: host readmitted, host=s-17");
    }

    @Test
    void logLineWithoutKnownHostStaysAsItIs() {
        long id = announce("s-17");

        assertThat(registry.replaceHostId("overload: shedding started")).isEqualTo("overload: shedding started");
        assertThat(registry.replaceHostId("outlier: host readmitted, host=" + (id - 1)))
                .isEqualTo("outlier: host readmitted, host=" + (id - 1));
    }

    private long announce(String name) {
        long id = registry.idOf(name);
        EndpointEntry entry = new EndpointEntry(id, "zone", "kind", 0, EndpointEntry.Condition.READY, 1, 0);
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 80);
        registry.apply(new EndpointRegistry.EndpointList(
                1, true, List.of(new EndpointRegistry.ListedEndpoint(name, address, entry))));
        return id;
    }
}
