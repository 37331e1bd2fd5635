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

/**
 * Guards the watch of endpoint lists. A watch that broke, went silent or delivered a malformed list must be reopened
 * without losing a change, and connections to hosts must follow the list that was applied last.
 */
class EndpointWatchTest {
    private static String claim() {
        return ProxyFixture.post("claim", 800, "", "x");
    }

    private static String nextWatchRequest(ProxyFixture fixture) throws InterruptedException {
        return fixture.watchRequests.poll(20, TimeUnit.SECONDS);
    }

    @Test
    void brokenWatchResumesFromLastVersion() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture()) {
            assertThat(nextWatchRequest(fixture)).contains("follow=1&since=1 ");
            fixture.announce(5, true, ProxyFixture.endpoint("a", host.port()));
            fixture.discoveryLines.add("");
            assertThat(nextWatchRequest(fixture)).contains("since=5 ");
            assertThat(fixture.call(claim()).status()).isEqualTo(200);
        }
    }

    @Test
    void malformedListKeepsLastGoodListAndIsRequestedAgain() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            for (String malformed : new String[] {
                "{\"version\":2,\"full\":true,\"serv\n",
                "{\"version\":2,\"full\":true,\"servers\":[{\"id\":\"b\",\"state\":\"up\"}]}\n",
                "[]\n",
                "{\"version\":2,\"full\":true}\n"
            }) {
                assertThat(nextWatchRequest(fixture)).contains("since=1 ");
                fixture.discoveryLines.add(malformed);
            }
            assertThat(nextWatchRequest(fixture)).contains("since=1 ");
            assertThat(fixture.call(claim()).status()).isEqualTo(200);
            // Each malformed list is logged with a running count. A list may be lost with a watch that ends first.
            List<String> logLines = fixture.log()
                    .lines()
                    .filter(line -> line.contains("malformed list"))
                    .toList();
            assertThat(logLines).isNotEmpty();
            for (int i = 0; i < logLines.size(); i++) {
                assertThat(logLines.get(i)).contains("malformed list, " + (i + 1) + " so far: ");
            }
        }
    }

    @Test
    void silentWatchIsReopened() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture()) {
            assertThat(nextWatchRequest(fixture)).isNotNull();
            assertThat(nextWatchRequest(fixture)).contains("since=1 "); // the first watch was silent
        }
    }

    @Test
    void indentedListIsOneList() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture()) {
            String list = new com.fasterxml.jackson.databind.ObjectMapper()
                    .readTree(ProxyFixture.endpointList(2, true, ProxyFixture.endpoint("a", host.port())))
                    .toPrettyString();
            assertThat(list).contains("\n");
            fixture.discoveryLines.add(list + "\n");
            fixture.discoveryLines.add("");
            nextWatchRequest(fixture);
            assertThat(nextWatchRequest(fixture)).contains("since=2 ");
            assertThat(fixture.call(claim()).status()).isEqualTo(200);
        }
    }

    /** Guards against a watch that is kept open by the bytes of a list that never ends. */
    @Test
    void endlessListCountsAsSilence() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture()) {
            assertThat(nextWatchRequest(fixture)).isNotNull();
            fixture.discoveryLines.add("{\"version\":2,\"servers\":[");
            String next = null;
            for (int i = 0; i < 2_000 && next == null; i++) {
                fixture.discoveryLines.add(" ");
                next = fixture.watchRequests.poll(10, TimeUnit.MILLISECONDS);
            }
            assertThat(next).as("a new watch").contains("since=1 ");
            assertThat(fixture.log()).contains("watch: overdue");
        }
    }

    /** Guards the bound of 6 s in which a change is applied, by adding up the steps after a watch fell silent. */
    @Test
    void worstCaseStepsStayWithinPropagationTime() {
        long maintenanceMillis = 250;
        long maxBackoffMillis = 2_100; // checked by BalancerTest; less if lists are pushed
        long silenceMillis = EndpointWatch.SILENCE_NANOS / 1_000_000;
        long unansweredMillis = EndpointWatch.UNANSWERED_NANOS / 1_000_000;
        long overdueMillis = EndpointWatch.OVERDUE_NANOS / 1_000_000;
        long overdueAttemptMillis = EndpointWatch.OVERDUE_ATTEMPT_NANOS / 1_000_000;
        long waitMillis = 2_000; // longest time for which polled discovery holds a request
        int connectMillis = EndpointWatch.CONNECT_TIMEOUT_MS;
        assertThat(maxBackoffMillis + connectMillis + unansweredMillis + maintenanceMillis)
                .isLessThan(6_000);
        assertThat(silenceMillis + maintenanceMillis + maxBackoffMillis).isLessThan(6_000);
        // Silence, then a slow connect and a slow response.
        assertThat(overdueMillis + maintenanceMillis + connectMillis + waitMillis)
                .isLessThan(6_000);
        // Silence, then a request that is lost after a slow connect, then another slow connect.
        assertThat(overdueMillis + maintenanceMillis + 2 * overdueAttemptMillis + maintenanceMillis + connectMillis)
                .isLessThan(6_000);
        // A poll that is lost after a slow connect, then another slow connect.
        assertThat(connectMillis + overdueMillis + maintenanceMillis + connectMillis)
                .isLessThan(6_000);
        assertThat(overdueMillis)
                .as("discovery sends a list or a blank line every 2 s")
                .isGreaterThan(2_000);
        assertThat(silenceMillis).as("another connection is opened first").isGreaterThan(overdueMillis);
        assertThat(unansweredMillis).as("another connection is opened first").isGreaterThan(overdueMillis);
    }

    @Test
    void fragmentedLineIsOneLine() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture()) {
            String line = ProxyFixture.endpointList(2, true, ProxyFixture.endpoint("a", host.port())) + "\n";
            fixture.discoveryLines.add(line.substring(0, 30));
            fixture.discoveryLines.add(line.substring(30));
            fixture.discoveryLines.add("");
            nextWatchRequest(fixture);
            assertThat(nextWatchRequest(fixture)).contains("since=2 ");
        }
    }

    @Test
    void drainingHostLosesIdleConnectionsAndGetsNoRequests() throws Exception {
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
                    ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", old.port()))) {
                assertThat(fixture.call(claim()).text()).isEqualTo("old");
                fixture.announce(
                        2,
                        false,
                        ProxyFixture.endpoint("a", old.port(), 0, state),
                        ProxyFixture.endpoint("b", next.port(), 0, "up"));
                ended.await();
                for (int i = 0; i < 5; i++) {
                    assertThat(fixture.call(claim()).text()).isEqualTo("next");
                }
                assertThat(old.nextConnection()).isNotNull();
                assertThat(old.hasMoreConnections()).isFalse();
            }
        }
    }

    @Test
    void hostMissingFromFullListIsRemoved() throws Exception {
        try (ScriptedServer hostA = ScriptedServer.host(message -> ScriptedServer.ok("a"));
                ScriptedServer hostB = ScriptedServer.host(message -> ScriptedServer.ok("b"));
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", hostA.port()))) {
            fixture.announce(2, true, ProxyFixture.endpoint("b", hostB.port()));
            fixture.discoveryLines.add("");
            nextWatchRequest(fixture);
            nextWatchRequest(fixture);
            for (int i = 0; i < 5; i++) {
                assertThat(fixture.call(claim()).text()).isEqualTo("b");
            }
        }
    }

    @Test
    void movedHostIsReachedAtNewAddressOnly() throws Exception {
        try (ScriptedServer before = ScriptedServer.host(message -> ScriptedServer.ok("before"));
                ScriptedServer after = ScriptedServer.host(message -> ScriptedServer.ok("after"));
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", before.port()))) {
            assertThat(fixture.call(claim()).text()).isEqualTo("before");
            fixture.announce(2, false, ProxyFixture.endpoint("a", after.port()));
            fixture.discoveryLines.add("");
            nextWatchRequest(fixture);
            nextWatchRequest(fixture);
            assertThat(fixture.call(claim()).text()).isEqualTo("after");
        }
    }

    @Test
    void endedPollingWatchIsReopenedByBalancer() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture(config -> {
                    ObjectNode settings = (ObjectNode) config.get("settings");
                    settings.put("membershipMode", "subscribe");
                    ((ObjectNode) settings.get("rules")).put("askWithin", 10_000);
                })) {
            assertThat(nextWatchRequest(fixture)).contains("since=1 ");
            fixture.announce(4, true, ProxyFixture.endpoint("a", host.port()));
            fixture.discoveryLines.add("");
            assertThat(nextWatchRequest(fixture)).contains("since=4 ");
            assertThat(fixture.call(claim()).status()).isEqualTo(200);
        }
    }

    @Test
    void pendingConnectIsAbandonedWhenHostDrains() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                TestPeer first = TestPeer.connect(full.getLocalPort());
                TestPeer second = TestPeer.connect(full.getLocalPort());
                ProxyFixture fixture = new ProxyFixture(
                        // Only the drain can end the connect before the test's own reads time out.
                        config -> ((ObjectNode) config.get("settings").get("limits")).put("connectTimeout", 600_000),
                        ProxyFixture.endpoint("a", full.getLocalPort()));
                TestPeer client = fixture.client()) {
            assertThat(first.socket.isConnected() && second.socket.isConnected())
                    .isTrue(); // and thereby fill the backlog
            client.write(ProxyFixture.post("claim", 600_000, "", "x"));
            fixture.announce(2, false, ProxyFixture.endpoint("a", full.getLocalPort(), 0, "draining"));
            assertThat(client.read().status()).isEqualTo(503);
        }
    }
}
