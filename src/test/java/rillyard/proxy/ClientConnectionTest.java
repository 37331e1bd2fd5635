package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rillyard.proxy.config.ConfigException;
import rillyard.proxy.config.ProxyConfig;

/**
 * Guards the handling of client connections: malformed requests, slow or silent clients, pipelined requests, and limits
 * of connections and of memory for bodies. A client that exceeds or violates a limit gets its response and disturbs no
 * other client.
 */
class ClientConnectionTest {
    private static final ScriptedServer.Reply OK = message -> ScriptedServer.ok("x");

    /** Leaves 8 MB for bodies, the minimum. */
    private static final Consumer<ObjectNode> SMALL_MEMORY = limit("memory_mb", 64);

    private static Consumer<ObjectNode> limit(String name, int value) {
        return config -> ((ObjectNode) config.get("limits")).put(name, value);
    }

    @ParameterizedTest
    @CsvSource({
        "400, 'NONSENSE\r\n\r\n'",
        "400, 'GET /read HTTP/1.1\r\nX-Timeout-Ms: 80\r\n\r\n'",
        "400, 'GET /read HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout-Ms: soon\r\n\r\n'",
        "400, 'GET /read HTTP/1.1\r\nX-Request-ID: a\r\nX-Timeout-Ms: -1\r\n\r\n'",
        "400, 'POST /read HTTP/1.1\r\nX-Request-ID: a\r\nContent-Length: x\r\n\r\n'",
        "413, 'POST /read HTTP/1.1\r\nX-Request-ID: a\r\nContent-Length: 33554433\r\n\r\n'",
        "400, 'GET /read HTTP/1.1\r\nHost: h\r\nX-Request-ID: a\r\nX-Request-ID: b\r\n\r\n'",
        "400, 'GET /read HTTP/1.1\r\nHost: h\r\nX-Request-ID: a\r\nX-Timeout-Ms: 99999999999999999\r\n\r\n'",
        "400, 'GET /read HTTP/1.1\r\nHost: h\r\nX-Request-ID: a\r\nX-Timeout-Ms: 1e2\r\n\r\n'",
        "400, 'POST /log HTTP/1.1\r\nHost: h\r\nX-Request-ID: a\r\nContent-Length: 0\r\n\r\n'",
        "404, 'GET /novel HTTP/1.1\r\nHost: h\r\nX-Request-ID: a\r\n\r\n'",
        "404, 'GET /read HTTP/1.1\r\nHost: h\r\nX-Request-ID: a\r\nX-Priority-Class: claim\r\n\r\n'",
        "400, 'POST /claim HTTP/1.1\r\nHost: h\r\nX-Request-ID: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'",
        "405, 'CONNECT a:1 HTTP/1.1\r\nX-Request-ID: a\r\n\r\n'",
        "505, 'GET /read HTTP/1.0\r\nX-Request-ID: a\r\n\r\n'"
    })
    void malformedRequestIsAnsweredAndConnectionClosed(int status, String request) throws Exception {
        try (ScriptedServer host = ScriptedServer.host(OK);
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer other = fixture.client();
                TestPeer peer = fixture.client()) {
            peer.write(request);
            assertThat(peer.read().status()).isEqualTo(status);
            assertThat(peer.read()).isNull();
            other.write(ProxyFixture.get("read", 800));
            assertThat(other.read().status()).isEqualTo(200);
            assertThat(host.requests).hasSize(1);
        }
    }

    @Test
    void overlongHeadIsRejected() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture();
                TestPeer peer = fixture.client()) {
            peer.write(ProxyFixture.head("GET", "read", 800, "X-Long: " + "y".repeat(60_000) + "\r\n") + "\r\n");
            assertThat(peer.read().status()).isEqualTo(431);
        }
    }

    @Test
    void duplicateRequestIdIsRejectedAndFirstRequestServed() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedServer host = ScriptedServer.host(message -> {
                    release.await();
                    return ScriptedServer.ok("mine");
                });
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer first = fixture.client()) {
            String request = ProxyFixture.post("claim", 20_000, "", "x");
            first.write(request);
            host.nextRequest();
            assertThat(fixture.call(request).status()).isEqualTo(409);
            release.countDown();
            assertThat(first.read().text()).isEqualTo("mine");
            assertThat(fixture.call(request).status()).isEqualTo(409); // also just after the first has ended
            assertThat(host.requests).isEmpty();
        }
    }

    @Test
    void silentClientAndIncompleteHeadTimeOut() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture();
                TestPeer silent = fixture.client();
                TestPeer incomplete = fixture.client()) {
            incomplete.write("POST /claim HTTP/1.1\r\nX-Request-ID: a\r\n");
            assertThat(incomplete.read().status()).isEqualTo(408);
            assertThat(silent.read()).isNull();
        }
    }

    @Test
    void drainClosesIdleConnectionsAcceptedMeanwhile() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture()) {
            fixture.proxy.drain();
            try (TestPeer late = fixture.client()) {
                late.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
                assertThat(late.read().status()).isEqualTo(503);
                try (TestPeer idle = fixture.client()) {
                    fixture.proxy.awaitEnd();
                    assertThat(fixture.proxy
                                    .loop()
                                    .submit(fixture.proxy::clientConnections)
                                    .get())
                            .isZero();
                    assertThat(idle.read()).isNull();
                }
            }
        }
    }

    @Test
    void unusedConnectionsAreClosedBeforeUsedOnes() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(OK);
                ProxyFixture fixture = new ProxyFixture(limit("sockets", 64), ProxyFixture.endpoint("a", host.port()));
                TestPeer used = fixture.client()) {
            used.write(ProxyFixture.get("read", 800));
            assertThat(used.read().status()).isEqualTo(200);
            List<TestPeer> silent = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                silent.add(fixture.client());
                if (i % 8 == 0) { // so that this connection is idle during a few connects only
                    used.write(ProxyFixture.get("read", 800));
                    assertThat(used.read().status()).isEqualTo(200);
                }
            }
            silent.get(0).awaitEnd(); // more unused connections than the limit allows
            used.write(ProxyFixture.get("read", 800));
            assertThat(used.read().status()).isEqualTo(200);
            for (TestPeer peer : silent) {
                peer.close();
            }
        }
    }

    @Test
    void endlessBodyIsCutOffAfterResponse() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture();
                TestPeer peer = fixture.client()) {
            peer.write(ProxyFixture.head("POST", "claim", 800, "") + "Content-Length: 60000000\r\n\r\n");
            assertThat(peer.read().status()).isEqualTo(413);
            byte[] part = new byte[1 << 20];
            assertThatThrownBy(() -> {
                        for (int i = 0; i < 60; i++) {
                            peer.write(part);
                        }
                    })
                    .isInstanceOf(java.net.SocketException.class);
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok(message.text()));
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer peer = fixture.client()) {
            peer.write(ProxyFixture.post("claim", 800, "", "one")
                    + ProxyFixture.post("claim", 800, "", "two")
                    + ProxyFixture.post("claim", 800, "Connection: close\r\n", "three"));
            assertThat(peer.read().text()).isEqualTo("one");
            assertThat(peer.read().text()).isEqualTo("two");
            assertThat(peer.read().text()).isEqualTo("three");
            assertThat(peer.read()).isNull();
        }
    }

    @Test
    void healthCheckFollowsEndpointList() throws Exception {
        String health = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
        try (ScriptedServer host = ScriptedServer.host(OK);
                ProxyFixture fixture = new ProxyFixture();
                TestPeer peer = fixture.client()) {
            peer.write(health);
            assertThat(peer.read().status()).isEqualTo(503);
            fixture.announce(2, true, ProxyFixture.endpoint("a", host.port()));
            int status = 0;
            while (status != 200) { // the list has not been applied yet
                peer.write(health);
                status = peer.read().status();
            }
            peer.write(ProxyFixture.get("read", 800));
            assertThat(peer.read().status()).isEqualTo(200);
        }
    }

    @Test
    void idleConnectionsAreClosedForNewOnes() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(OK);
                ProxyFixture fixture =
                        new ProxyFixture(limit("sockets", 64), ProxyFixture.endpoint("a", host.port()))) {
            TestPeer[] idle = new TestPeer[40];
            for (int i = 0; i < idle.length; i++) {
                idle[i] = fixture.client();
                idle[i].write(ProxyFixture.get("read", 800));
                assertThat(idle[i].read().status()).isEqualTo(200);
            }
            idle[0].awaitEnd(); // the oldest one is closed
            for (TestPeer peer : idle) {
                peer.close();
            }
        }
    }

    @Test
    void invalidConfigurationIsReportedInOneLine() throws Exception {
        assertThatThrownBy(() -> ProxyConfig.load(Map.of())).hasMessageContaining("BALANCER_CONFIG");
        assertThatThrownBy(() -> ProxyConfig.load(Map.of("BALANCER_CONFIG", "/none")))
                .isInstanceOf(ConfigException.class);
        java.nio.file.Path file = ProxyFixture.writeConfig(1, config -> config.put("listen", "nowhere"));
        Map<String, String> env = Map.of("BALANCER_CONFIG", file.toString());
        assertThatThrownBy(() -> ProxyConfig.load(env)).hasMessage("listen is not IP:port: 'nowhere'");
        java.nio.file.Files.writeString(file, "{");
        assertThatThrownBy(() -> ProxyConfig.load(env))
                .isInstanceOf(ConfigException.class)
                .message()
                .doesNotContain("\n");
        java.nio.file.Files.delete(file);
        try (ProxyFixture fixture = new ProxyFixture()) {
            assertThatThrownBy(() -> new ProxyFixture(json -> json.put("listen", "127.0.0.1:" + fixture.port)))
                    .isInstanceOf(ConfigException.class)
                    .hasMessageContaining("can't listen");
        }
    }

    @Test
    void requestsWithoutBodyMemoryAreRejectedUnsentAndOthersServed() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedServer host = ScriptedServer.host(message -> {
                    release.await();
                    return ScriptedServer.ok("held");
                });
                ProxyFixture fixture = new ProxyFixture(SMALL_MEMORY, ProxyFixture.endpoint("a", host.port()))) {
            String body = "x".repeat(64 * 1024);
            List<TestPeer> clients = new ArrayList<>();
            for (int i = 0; i < 150; i++) { // 9.4 MB in all; the limit is 8 MB
                TestPeer peer = fixture.client();
                clients.add(peer);
                peer.write(ProxyFixture.post("claim", 600_000, "", body));
            }
            // Which of them are rejected depends on the order in which they are read.
            long deadlineNanos = System.nanoTime() + 20_000_000_000L;
            while (!fixture.log().contains("reason=body_memory") && System.nanoTime() < deadlineNanos) {
                Thread.sleep(5);
            }
            release.countDown();
            int rejected = 0;
            int served = 0;
            for (TestPeer peer : clients) {
                int status = peer.read().status();
                served += status == 200 ? 1 : 0;
                rejected += status == 503 ? 1 : 0;
                peer.close();
            }
            assertThat(served).isPositive();
            assertThat(rejected).isPositive();
            assertThat(served + rejected).isEqualTo(clients.size());
            assertThat(host.requests).hasSize(served);
        }
    }

    @Test
    void requestOfDisconnectedClientIsNotStarted() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(OK);
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer stays = fixture.client()) {
            CountDownLatch unblock = fixture.blockLoop();
            for (int i = 0; i < 20; i++) {
                try (TestPeer leaves = fixture.client()) {
                    leaves.write(ProxyFixture.post("claim", 800, "", "left"));
                }
            }
            stays.write(ProxyFixture.post("claim", 800, "", "stays"));
            unblock.countDown();
            assertThat(stays.read().status()).isEqualTo(200);
            assertThat(host.requests).extracting(TestPeer.Message::text).containsExactly("stays");
        }
    }

    @Test
    void pipelinedRequestInNextReadKeepsFirstByte() throws Exception {
        // The first read of a connection takes 2 kB; with these sizes the second request begins within or after it.
        for (int size = 1_700; size < 2_100; size += 20) {
            String first = "x".repeat(size);
            try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok(message.text()));
                    ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                    TestPeer peer = fixture.client()) {
                CountDownLatch unblock = fixture.blockLoop();
                peer.write(
                        ProxyFixture.post("claim", 5_000, "", first) + ProxyFixture.post("claim", 5_000, "", "second"));
                unblock.countDown();
                TestPeer.Message answer = peer.read();
                assertThat(answer.status()).as(fixture.log()).isEqualTo(200);
                assertThat(answer.text()).isEqualTo(first);
                assertThat(peer.read().text()).isEqualTo("second");
            }
        }
    }

    /** Guards against clients that send one request, keep their connections and thereby use up all descriptors. */
    @Test
    void usedIdleConnectionsAreClosedForNewOnes() throws Exception {
        List<TestPeer> kept = new ArrayList<>();
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture =
                        new ProxyFixture(limit("sockets", 160), ProxyFixture.endpoint("a", host.port()))) {
            for (int i = 0; i < 60; i++) {
                TestPeer peer = fixture.client();
                kept.add(peer);
                peer.write(ProxyFixture.get("read", 60_000));
                assertThat(peer.read().status()).isEqualTo(200);
            }
            int open = fixture.proxy
                    .loop()
                    .submit(() -> fixture.proxy.clientConnections())
                    .get();
            assertThat(open).isLessThanOrEqualTo(41); // a quarter of the descriptors, and the connection accepted last
        } finally {
            for (TestPeer peer : kept) {
                peer.close();
            }
        }
    }
}
