package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import rillyard.proxy.discovery.EndpointWatch;

/** What discovery says, how its watch breaks, and what that means for connections. */
class EndpointWatchTest {
    private static String claim() {
        return ProxyFixture.post("claim", 800, "", "x");
    }

    private static String watch(ProxyFixture rig) throws InterruptedException {
        return rig.watches.poll(20, TimeUnit.SECONDS);
    }

    @Test
    void brokenWatchResumesFromTheLastVersion() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture rig = new ProxyFixture()) {
            assertThat(watch(rig)).contains("follow=1&since=1 ");
            rig.tell(5, true, ProxyFixture.server("a", host.port()));
            rig.news.add("");
            assertThat(watch(rig)).contains("since=5 ");
            assertThat(rig.call(claim()).status()).isEqualTo(200);
        }
    }

    @Test
    void malformedLineKeepsTheLastGoodListAndIsAskedForAgain() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()))) {
            for (String bad : new String[] {
                "{\"version\":2,\"full\":true,\"serv\n",
                "{\"version\":2,\"full\":true,\"servers\":[{\"id\":\"b\",\"state\":\"up\"}]}\n",
                "[]\n",
                "{\"version\":2,\"full\":true}\n"
            }) {
                assertThat(watch(rig)).contains("since=1 ");
                rig.news.add(bad);
            }
            assertThat(watch(rig)).contains("since=1 ");
            assertThat(rig.call(claim()).status()).isEqualTo(200);
            // One log line each, counted; a watch that ended in between may have taken a line with it.
            List<String> told =
                    rig.log().lines().filter(l -> l.contains("malformed list")).toList();
            assertThat(told).isNotEmpty();
            for (int i = 0; i < told.size(); i++) {
                assertThat(told.get(i)).contains("malformed list, " + (i + 1) + " so far: ");
            }
        }
    }

    @Test
    void silentWatchIsOpenedAnew() throws Exception {
        try (ProxyFixture rig = new ProxyFixture()) {
            assertThat(watch(rig)).isNotNull();
            assertThat(watch(rig)).contains("since=1 "); // nothing was said on the first one
        }
    }

    @Test
    void indentedListIsOneList() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture rig = new ProxyFixture()) {
            String list = new com.fasterxml.jackson.databind.ObjectMapper()
                    .readTree(ProxyFixture.list(2, true, ProxyFixture.server("a", host.port())))
                    .toPrettyString();
            assertThat(list).contains("\n");
            rig.news.add(list + "\n");
            rig.news.add("");
            watch(rig);
            assertThat(watch(rig)).contains("since=2 ");
            assertThat(rig.call(claim()).status()).isEqualTo(200);
        }
    }

    /** What never gets whole is no sign of life, however long bytes of it come. */
    @Test
    void endlessListIsSilence() throws Exception {
        try (ProxyFixture rig = new ProxyFixture()) {
            assertThat(watch(rig)).isNotNull();
            rig.news.add("{\"version\":2,\"servers\":[");
            String next = null;
            for (int i = 0; i < 2_000 && next == null; i++) {
                rig.news.add(" ");
                next = rig.watches.poll(10, TimeUnit.MILLISECONDS);
            }
            assertThat(next).as("a new watch").contains("since=1 ");
            assertThat(rig.log()).contains("watch: silent");
        }
    }

    /** A change counts as told 6 s after discovery had it, and after a silence began: the steps add up. */
    @Test
    void theWorstOfEachStepStaysWithinTheTimeOfAChange() {
        long sweepMs = 250;
        long longestWaitMs = 2_100; // BalancerTest holds the module to it, and pushed lists wait for less
        long silenceMs = EndpointWatch.SILENCE_NANOS / 1_000_000;
        long unansweredMs = EndpointWatch.UNANSWERED_NANOS / 1_000_000;
        assertThat(longestWaitMs + EndpointWatch.CONNECT_TIMEOUT_MS + unansweredMs + sweepMs)
                .isLessThan(6_000);
        assertThat(silenceMs + sweepMs + longestWaitMs).isLessThan(6_000);
        assertThat(silenceMs).as("a watch says something every 2 s").isGreaterThan(2_000);
        assertThat(unansweredMs).as("asked discovery has a call wait 2 s").isGreaterThan(2_000);
    }

    @Test
    void lineInPiecesIsOneLine() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture rig = new ProxyFixture()) {
            String line = ProxyFixture.list(2, true, ProxyFixture.server("a", host.port())) + "\n";
            rig.news.add(line.substring(0, 30));
            rig.news.add(line.substring(30));
            rig.news.add("");
            watch(rig);
            assertThat(watch(rig)).contains("since=2 ");
        }
    }

    @Test
    void drainingHostLosesItsIdleConnectionsAndGetsNothingNew() throws Exception {
        for (String state : new String[] {"draining", "removed"}) {
            CountDownLatch ended = new CountDownLatch(1);
            ScriptedServer old = new ScriptedServer(peer -> {
                peer.read();
                peer.write(ScriptedServer.ok("old"));
                peer.awaitEnd();
                ended.countDown();
            });
            try (old;
                    ScriptedServer next = ScriptedServer.host(message -> ScriptedServer.ok("next"));
                    ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", old.port()))) {
                assertThat(rig.call(claim()).text()).isEqualTo("old");
                rig.tell(
                        2,
                        false,
                        ProxyFixture.server("a", old.port(), 0, state),
                        ProxyFixture.server("b", next.port(), 0, "up"));
                ended.await();
                for (int i = 0; i < 5; i++) {
                    assertThat(rig.call(claim()).text()).isEqualTo("next");
                }
                assertThat(old.accepted()).isNotNull();
                assertThat(old.acceptedMore()).isFalse();
            }
        }
    }

    @Test
    void hostAbsentFromAFullListIsGone() throws Exception {
        try (ScriptedServer server = ScriptedServer.host(message -> ScriptedServer.ok("a"));
                ScriptedServer scriptedServer = ScriptedServer.host(r -> ScriptedServer.ok("b"));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", server.port()))) {
            rig.tell(2, true, ProxyFixture.server("b", scriptedServer.port()));
            rig.news.add("");
            watch(rig);
            watch(rig);
            for (int i = 0; i < 5; i++) {
                assertThat(rig.call(claim()).text()).isEqualTo("b");
            }
        }
    }

    @Test
    void hostThatMovedIsReachedAtItsNewAddressOnly() throws Exception {
        try (ScriptedServer before = ScriptedServer.host(message -> ScriptedServer.ok("before"));
                ScriptedServer after = ScriptedServer.host(r -> ScriptedServer.ok("after"));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", before.port()))) {
            assertThat(rig.call(claim()).text()).isEqualTo("before");
            rig.tell(2, false, ProxyFixture.server("a", after.port()));
            rig.news.add("");
            watch(rig);
            watch(rig);
            assertThat(rig.call(claim()).text()).isEqualTo("after");
        }
    }

    @Test
    void askedDiscoveryIsAskedAgainByTheModuleWhenItsWatchEnds() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture rig = new ProxyFixture(config -> {
                    ObjectNode settings = (ObjectNode) config.get("settings");
                    settings.put("membershipMode", "subscribe");
                    ((ObjectNode) settings.get("rules")).put("askWithin", 10_000);
                })) {
            assertThat(watch(rig)).contains("since=1 ");
            rig.tell(4, true, ProxyFixture.server("a", host.port()));
            rig.news.add("");
            assertThat(watch(rig)).contains("since=4 ");
            assertThat(rig.call(claim()).status()).isEqualTo(200);
        }
    }

    @Test
    void connectUnderWayIsGivenUpWhenItsHostDrains() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                TestPeer first = TestPeer.connect(full.getLocalPort());
                TestPeer second = TestPeer.connect(full.getLocalPort());
                ProxyFixture rig = new ProxyFixture(
                        // Nothing but the drain can end the connect before the test's reads give up.
                        config -> ((ObjectNode) config.get("settings").get("limits")).put("connectTimeout", 600_000),
                        ProxyFixture.server("a", full.getLocalPort()));
                TestPeer client = rig.client()) {
            assertThat(first.socket.isConnected() && second.socket.isConnected())
                    .isTrue(); // it is full
            client.write(ProxyFixture.post("claim", 600_000, "", "x"));
            rig.tell(2, false, ProxyFixture.server("a", full.getLocalPort(), 0, "draining"));
            assertThat(client.read().status()).isEqualTo(503);
        }
    }
}
