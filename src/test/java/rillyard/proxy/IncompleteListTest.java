package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rillyard.endpoints.EndpointListGuard;
import rillyard.proxy.config.ConfigException;
import rillyard.proxy.discovery.EndpointListOptions;

/**
 * Guards against a full list that lacks most hosts because discovery lost its data: with the guard, the missing hosts
 * stay in use for a time, and without it the list applies as it is.
 */
class IncompleteListTest {
    private static final String[] NAMES = {"a", "b", "c", "d"};
    private static final double LONG_HOLD_MILLIS = 3_600_000;

    private final List<ScriptedServer> hosts = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        for (String name : NAMES) {
            hosts.add(ScriptedServer.host(message -> {
                Thread.sleep(20); // so that simultaneous requests are distributed over the hosts
                return ScriptedServer.ok(name);
            }));
        }
    }

    @AfterEach
    void stop() throws Exception {
        for (ScriptedServer server : hosts) {
            server.close();
        }
    }

    private String[] allEndpoints() {
        String[] servers = new String[NAMES.length];
        for (int i = 0; i < NAMES.length; i++) {
            servers[i] = ProxyFixture.endpoint(NAMES[i], hosts.get(i).port());
        }
        return servers;
    }

    /** Returns the hosts that respond once the announced lists have been applied. */
    private static Set<String> respondingHosts(ProxyFixture fixture) throws Exception {
        fixture.discoveryLines.add(""); // ends the watch; the next one is opened once all of this one was read
        assertThat(fixture.watchRequests.poll(20, TimeUnit.SECONDS)).isNotNull();
        assertThat(fixture.watchRequests.poll(20, TimeUnit.SECONDS)).isNotNull();
        Set<String> names = new TreeSet<>();
        for (int i = 0; i < 5; i++) {
            List<TestPeer> clients = new ArrayList<>();
            for (int call = 0; call < 12; call++) {
                TestPeer peer = fixture.client();
                peer.write(ProxyFixture.post("claim", 20_000, "", "x"));
                clients.add(peer);
            }
            for (TestPeer client : clients) {
                names.add(client.read().text());
                client.close();
            }
        }
        return names;
    }

    @Test
    void guardKeepsMissingHostsInUseAndAppliesDrain() throws Exception {
        try (ProxyFixture fixture =
                new ProxyFixture(false, new EndpointListGuard(0.5, LONG_HOLD_MILLIS), config -> {}, allEndpoints())) {
            // The full list names one of four hosts, and that one as draining.
            fixture.announce(2, true, allEndpoints()[0].replace("\"up\"", "\"draining\""));
            assertThat(respondingHosts(fixture)).containsExactly("b", "c", "d");
            assertThat(fixture.log()).contains("full list lacks hosts that stay in use, hosts=1 missing_in_use=3");
            fixture.announce(3, false, allEndpoints()[1].replace("\"up\"", "\"removed\""));
            assertThat(respondingHosts(fixture)).containsExactly("c", "d");
        }
    }

    @Test
    void hostMissingPastHoldTimeIsRemoved() throws Exception {
        try (ProxyFixture fixture =
                new ProxyFixture(false, new EndpointListGuard(0.5, 1), config -> {}, allEndpoints())) {
            fixture.announce(2, true, allEndpoints()[0]);
            fixture.discoveryLines.add("");
            assertThat(fixture.watchRequests.poll(20, TimeUnit.SECONDS)).isNotNull();
            assertThat(fixture.watchRequests.poll(20, TimeUnit.SECONDS)).isNotNull();
            long deadlineNanos = System.nanoTime() + 20_000_000_000L;
            while (fixture.log()
                                    .lines()
                                    .filter(line -> line.contains("watch: missing host removed"))
                                    .count()
                            < 3
                    && System.nanoTime() < deadlineNanos) {
                Thread.onSpinWait();
            }
            for (int i = 0; i < 20; i++) {
                assertThat(fixture.call(ProxyFixture.post("claim", 800, "", "x"))
                                .text())
                        .isEqualTo("a");
            }
        }
    }

    /** Without the guard, the rule of the platform applies: a host that a full list lacks is removed. */
    @Test
    void incompleteListIsAppliedWithoutGuard() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(allEndpoints())) {
            fixture.announce(2, true, allEndpoints()[0]);
            assertThat(respondingHosts(fixture)).containsExactly("a");
        }
    }

    @Test
    void guardIsConfiguredByProperties() throws Exception {
        Properties properties = new Properties();
        assertThat(EndpointListOptions.createGuard(properties)).isNull();
        properties.setProperty(EndpointListOptions.HOLD_MILLIS_PROPERTY, "30000");
        assertThat(EndpointListOptions.createGuard(properties)).isNotNull();
        properties.setProperty(EndpointListOptions.LEAST_SHARE_PROPERTY, "1.5");
        assertThatThrownBy(() -> EndpointListOptions.createGuard(properties))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("least_share")
                .hasMessageContaining("expected 0 to 1, found 1.5");
        properties.setProperty(EndpointListOptions.HOLD_MILLIS_PROPERTY, "soon");
        assertThatThrownBy(() -> EndpointListOptions.createGuard(properties))
                .isInstanceOf(ConfigException.class)
                .hasMessage("-Drillyard.lists.hold_ms: expected a number, found 'soon'");
    }
}
