package rillyard.proxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rillyard.balancer.EndpointEntry;
import rillyard.endpoints.DisabledHosts;
import rillyard.endpoints.HostStartClock;

/**
 * Guards against log lines of the balancer that name hosts by internal ids, and against a wrong wall clock that makes a
 * host that has just started look older or younger than it is.
 */
class EndpointRegistryTest {
    private static final double HOUR_MILLIS = 3_600_000;
    private static final double WARM_UP_MILLIS = 8_000;
    private static final double UNIX_OFFSET_MILLIS = 1.7e12;
    private static final double NOW_MILLIS = 1e9;

    private final EndpointRegistry registry =
            new EndpointRegistry(new HostStartClock(UNIX_OFFSET_MILLIS, WARM_UP_MILLIS), new DisabledHosts());

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

    @ParameterizedTest
    @ValueSource(doubles = {-HOUR_MILLIS, -5_000, 5_000, HOUR_MILLIS})
    void startLearntFromDeltaDoesNotFollowWrongWallClock(double wallClockErrorMillis) throws Exception {
        EndpointRegistry skewedRegistry = new EndpointRegistry(
                new HostStartClock(UNIX_OFFSET_MILLIS + wallClockErrorMillis, WARM_UP_MILLIS), new DisabledHosts());
        receive(
                skewedRegistry,
                NOW_MILLIS,
                true,
                server("a", NOW_MILLIS - 5 * HOUR_MILLIS),
                server("b", NOW_MILLIS - 5 * HOUR_MILLIS));

        List<EndpointEntry> entries =
                receive(skewedRegistry, NOW_MILLIS + 9_050, false, server("a", NOW_MILLIS + 9_000));

        assertThat(entries)
                .singleElement()
                .extracting(EndpointEntry::startedAtMillis)
                .isEqualTo(NOW_MILLIS + 9_050);
    }

    @Test
    void deltaThatShowsWallClockAheadCorrectsYoungHostsOfFirstList() throws Exception {
        EndpointRegistry skewedRegistry = new EndpointRegistry(
                new HostStartClock(UNIX_OFFSET_MILLIS + HOUR_MILLIS, WARM_UP_MILLIS), new DisabledHosts());
        receive(
                skewedRegistry,
                NOW_MILLIS,
                true,
                server("a", NOW_MILLIS - 1_000),
                server("b", NOW_MILLIS - 5 * HOUR_MILLIS));

        List<EndpointEntry> entries =
                receive(skewedRegistry, NOW_MILLIS + 2_050, false, server("b", NOW_MILLIS + 2_000));

        assertThat(entries)
                .extracting(EndpointEntry::id)
                .containsExactly(skewedRegistry.idOf("b"), skewedRegistry.idOf("a"));
        assertThat(entries.get(1).startedAtMillis()).isBetween(NOW_MILLIS - 1_000, NOW_MILLIS);
        assertThat(skewedRegistry.findListed("a").entry().startedAtMillis())
                .isEqualTo(entries.get(1).startedAtMillis());
    }

    private static String server(String name, double hostStartMillis) {
        return "{\"id\":\"" + name + "\",\"addr\":\"127.0.0.1:80\",\"state\":\"up\",\"started_ms\":"
                + (long) (UNIX_OFFSET_MILLIS + hostStartMillis) + "}";
    }

    /** Parses a list and applies it to the registry; returns the entries for the balancer. */
    private static List<EndpointEntry> receive(
            EndpointRegistry registry, double nowMillis, boolean full, String... servers) throws Exception {
        String list = "{\"version\":1,\"full\":" + full + ",\"servers\":[" + String.join(",", servers) + "]}";
        EndpointRegistry.EndpointList parsed =
                new EndpointListParser(registry).parse(new ObjectMapper().readTree(list));
        EndpointRegistry.EndpointList timed = registry.withStartTimes(parsed, false, nowMillis);
        registry.apply(timed);
        return registry.effective(timed);
    }

    private long announce(String name) {
        long id = registry.idOf(name);
        EndpointEntry entry = new EndpointEntry(id, "zone", "kind", 0, EndpointEntry.Condition.READY, 0);
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 80);
        registry.apply(new EndpointRegistry.EndpointList(
                1, true, List.of(new EndpointRegistry.ListedEndpoint(name, address, entry, 0))));
        return id;
    }
}
