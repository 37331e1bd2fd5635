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

/** Whole lists with most hosts missing, where they are doubted and where they are not. */
class IncompleteListTest {
    private static final String[] NAMES = {"a", "b", "c", "d"};
    private static final double LONG_MS = 3_600_000;

    private final List<ScriptedServer> hosts = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        for (String name : NAMES) {
            hosts.add(ScriptedServer.host(message -> {
                Thread.sleep(20); // its work: so that calls made together are spread
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

    private String[] all() {
        String[] servers = new String[NAMES.length];
        for (int i = 0; i < NAMES.length; i++) {
            servers[i] = ProxyFixture.server(NAMES[i], hosts.get(i).port());
        }
        return servers;
    }

    /** Who answers now, after the proxy has surely read what discovery said. */
    private static Set<String> answering(ProxyFixture rig) throws Exception {
        rig.news.add(""); // ends the watch; the next one is opened after all of it was read
        assertThat(rig.watches.poll(20, TimeUnit.SECONDS)).isNotNull();
        assertThat(rig.watches.poll(20, TimeUnit.SECONDS)).isNotNull();
        Set<String> who = new TreeSet<>();
        for (int i = 0; i < 5; i++) {
            List<TestPeer> calls = new ArrayList<>();
            for (int n = 0; n < 12; n++) {
                TestPeer peer = rig.client();
                peer.write(ProxyFixture.post("claim", 20_000, "", "x"));
                calls.add(peer);
            }
            for (TestPeer testPeer : calls) {
                who.add(testPeer.read().text());
                testPeer.close();
            }
        }
        return who;
    }

    @Test
    void withTheGuardTheServiceGoesOnWithAllAndADrainIsObeyed() throws Exception {
        try (ProxyFixture rig = new ProxyFixture(false, new EndpointListGuard(0.5, LONG_MS), config -> {}, all())) {
            // One is left of four, and one of the others was told to drain in the same breath.
            rig.tell(2, true, all()[0].replace("\"up\"", "\"draining\""));
            assertThat(answering(rig)).containsExactly("b", "c", "d");
            assertThat(rig.log()).contains("full list not believed for now, hosts=1 missing_in_use=3");
            rig.tell(3, false, all()[1].replace("\"up\"", "\"removed\""));
            assertThat(answering(rig)).containsExactly("c", "d");
        }
    }

    @Test
    void whatNoListNamesAgainIsGoneInTheEnd() throws Exception {
        try (ProxyFixture rig = new ProxyFixture(false, new EndpointListGuard(0.5, 1), config -> {}, all())) {
            rig.tell(2, true, all()[0]);
            rig.news.add("");
            assertThat(rig.watches.poll(20, TimeUnit.SECONDS)).isNotNull();
            assertThat(rig.watches.poll(20, TimeUnit.SECONDS)).isNotNull();
            long until = System.nanoTime() + 20_000_000_000L;
            while (rig.log()
                                    .lines()
                                    .filter(l -> l.contains("watch: missing host removed"))
                                    .count()
                            < 3
                    && System.nanoTime() < until) {
                Thread.onSpinWait();
            }
            for (int i = 0; i < 20; i++) {
                assertThat(rig.call(ProxyFixture.post("claim", 800, "", "x")).text())
                        .isEqualTo("a");
            }
        }
    }

    /** The platform's rule, and what holds where no guard is asked for. */
    @Test
    void withoutTheGuardTheListIsBelieved() throws Exception {
        try (ProxyFixture rig = new ProxyFixture(all())) {
            rig.tell(2, true, all()[0]);
            assertThat(answering(rig)).containsExactly("a");
        }
    }

    @Test
    void theGuardIsAskedForByProperties() throws Exception {
        Properties p = new Properties();
        assertThat(EndpointListOptions.createGuard(p)).isNull();
        p.setProperty(EndpointListOptions.HOLD, "30000");
        assertThat(EndpointListOptions.createGuard(p)).isNotNull();
        p.setProperty(EndpointListOptions.LEAST_SHARE, "1.5");
        assertThatThrownBy(() -> EndpointListOptions.createGuard(p))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("least_share")
                .hasMessageContaining("expected 0 to 1, found 1.5");
        p.setProperty(EndpointListOptions.HOLD, "soon");
        assertThatThrownBy(() -> EndpointListOptions.createGuard(p))
                .isInstanceOf(ConfigException.class)
                .hasMessage("-Drillyard.lists.hold_ms: expected a number, found 'soon'");
    }
}
