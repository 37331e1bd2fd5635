package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import rillyard.proxy.upstream.UpstreamPool;

/**
 * Guards the classification of attempts by whether the host may have executed the request. A request that may run only
 * once must not be sent again after an outcome that leaves this open (502), and is retried or rejected (503) after one
 * that excludes it.
 */
class AttemptOutcomeTest {
    private static String claim() {
        return ProxyFixture.post("claim", 800, "", "visit=1");
    }

    /** Sends a request that may run at most once to the only host, so that the response shows the attempt's outcome. */
    private static TestPeer.Message claimAt(ScriptedServer host) throws Exception {
        try (host;
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            return fixture.call(claim());
        }
    }

    /** Creates a host that never responds, and counts {@code ended} down once its connection has ended. */
    private static ScriptedServer unresponsiveHost(CountDownLatch ended) throws Exception {
        return new ScriptedServer(peer -> {
            peer.read();
            peer.awaitEnd();
            ended.countDown();
        });
    }

    @Test
    void successfulResponseIsForwardedUnchanged() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(
                        message -> "HTTP/1.1 200 OK\r\nX-Server-Load: rif=3,fail_rate=0.5\r\nX-Kept: yes\r\n"
                                + "Content-Length: 5\r\n\r\nh\0llo");
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            TestPeer.Message answer = fixture.call(ProxyFixture.post("claim", 800, "X-Tenant-Id: acme\r\n", "visit=1"));
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.text()).isEqualTo("h\0llo");
            assertThat(answer.header("X-Kept")).isEqualTo("yes");
            TestPeer.Message seen = host.nextRequest();
            assertThat(seen.startLine()).isEqualTo("POST /claim HTTP/1.1");
            assertThat(seen.text()).isEqualTo("visit=1");
            assertThat(seen.header("X-Request-ID")).isNotBlank();
            assertThat(seen.header("X-Tenant-Id")).isEqualTo("acme");
            assertThat(Integer.parseInt(seen.header("X-Timeout-Ms"))).isBetween(1, 800);
        }
    }

    @Test
    void refusedConnectNeverRan() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", ProxyFixture.freePort()))) {
            assertThat(fixture.call(claim()).status()).isEqualTo(503);
        }
    }

    @Test
    void connectThatTimesOutNeverRan() throws Exception {
        List<Socket> backlog = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 2; i++) { // a backlog of 1 holds two connections
                backlog.add(new Socket(InetAddress.getLoopbackAddress(), full.getLocalPort()));
            }
            try (ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", full.getLocalPort()))) {
                assertThat(fixture.call(claim()).status()).isEqualTo(503);
            }
        } finally {
            for (Socket socket : backlog) {
                socket.close();
            }
        }
    }

    @Test
    void resetAfterLastByteMayHaveRun() throws Exception {
        ScriptedServer host = new ScriptedServer(peer -> {
            peer.read();
            peer.reset();
        });
        assertThat(claimAt(host).status()).isEqualTo(502);
    }

    @Test
    void closeAfterLastByteMayHaveRun() throws Exception {
        assertThat(claimAt(new ScriptedServer(TestPeer::read)).status()).isEqualTo(502);
    }

    @Test
    void errorMayHaveRun() throws Exception {
        assertThat(claimAt(ScriptedServer.host(message -> ScriptedServer.status(500, "")))
                        .status())
                .isEqualTo(502);
    }

    @Test
    void unavailableWithoutNotProcessedHeaderMayHaveRun() throws Exception {
        assertThat(claimAt(ScriptedServer.host(message -> ScriptedServer.status(503, "")))
                        .status())
                .isEqualTo(502);
    }

    @Test
    void rejectionNeverRanAndIsRetriedElsewhere() throws Exception {
        for (int status : new int[] {503, 504}) {
            CountDownLatch rejected = new CountDownLatch(1);
            ScriptedServer.Reply reply = message -> {
                if (rejected.getCount() > 0) {
                    rejected.countDown();
                    return ScriptedServer.status(status, "X-Not-Processed: 1\r\n");
                }
                return ScriptedServer.ok("done");
            };
            try (ScriptedServer hostA = ScriptedServer.host(reply);
                    ScriptedServer hostB = ScriptedServer.host(reply);
                    ProxyFixture fixture = new ProxyFixture(
                            ProxyFixture.endpoint("a", hostA.port()), ProxyFixture.endpoint("b", hostB.port()))) {
                assertThat(fixture.call(claim()).text()).isEqualTo("done");
                assertThat(hostA.requests).hasSize(1);
                assertThat(hostB.requests).hasSize(1);
            }
        }
    }

    @Test
    void unresponsiveHostTimesOutAtDeadline() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        ScriptedServer host = unresponsiveHost(ended);
        try (host;
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            assertThat(fixture.call(ProxyFixture.post("claim", 150, "", "x")).status())
                    .isEqualTo(504);
            ended.await(); // the timeout has closed the host's connection
        }
    }

    @Test
    void requestWithIdempotencyKeyIsRetriedInItsCellOnly() throws Exception {
        ScriptedServer.Reply error = message -> ScriptedServer.status(500, "");
        try (ScriptedServer hostA = ScriptedServer.host(error);
                ScriptedServer hostB = ScriptedServer.host(error);
                ScriptedServer other = ScriptedServer.host(error);
                ProxyFixture fixture = new ProxyFixture(
                        ProxyFixture.endpoint("a", hostA.port(), 1, "up"),
                        ProxyFixture.endpoint("b", hostB.port(), 1, "up"),
                        ProxyFixture.endpoint("c", other.port(), 2, "draining"))) {
            fixture.announce(2, false, ProxyFixture.endpoint("c", other.port(), 2, "up"));
            for (int i = 0; i < 20; i++) {
                fixture.call(ProxyFixture.post("log", 1_200, "Idempotency-Key: k" + i + "\r\n", "x"));
            }
            java.util.Map<String, Boolean> cells = new java.util.HashMap<>();
            for (TestPeer.Message request : other.requests) {
                cells.put(request.header("Idempotency-Key"), true);
            }
            for (ScriptedServer host : List.of(hostA, hostB)) {
                for (TestPeer.Message request : host.requests) {
                    assertThat(cells).doesNotContainKey(request.header("Idempotency-Key"));
                }
            }
            assertThat(hostA.requests.size() + hostB.requests.size()).isPositive();
        }
    }

    @Test
    void malformedResponseIsReset() throws Exception {
        for (String reply : List.of(
                "garbage\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
                "HTTP/1.1 200 OK\r\nX: " + "y".repeat(100_000) + "\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")) {
            ScriptedServer host = new ScriptedServer(peer -> {
                peer.read();
                peer.write(reply);
            });
            assertThat(claimAt(host).status()).as(reply.substring(0, 9)).isEqualTo(502);
        }
    }

    @Test
    void surplusBytesNeverReachNextRequest() throws Exception {
        try (ScriptedServer host =
                        ScriptedServer.host(message -> ScriptedServer.ok("mine") + ScriptedServer.ok("stray"));
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            for (int i = 0; i < 5; i++) {
                assertThat(fixture.call(claim()).text()).isEqualTo("mine");
            }
        }
    }

    /**
     * Guards a request that is sent right after a response against a second copy of that response, which crosses it on
     * the same connection; the responses that follow would each be taken for that to the next request.
     */
    @Test
    void lateSecondCopyOfResponseNeverReachesNextRequest() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    TestPeer.Message request;
                    while ((request = peer.read()) != null) {
                        boolean isFirst = requests.incrementAndGet() == 1;
                        peer.write(ScriptedServer.ok(request.text()));
                        while (isFirst
                                && requests.get() == 1
                                && peer.socket.getInputStream().available() == 0) {
                            Thread.sleep(1); // until the next request has been sent, on whichever connection
                        }
                        if (isFirst) {
                            peer.write(ScriptedServer.ok(request.text()));
                        }
                    }
                });
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            for (String text : List.of("first", "second", "third", "fourth")) {
                client.write(ProxyFixture.post("claim", 800, "", text));
                assertThat(client.read().text()).isEqualTo(text);
            }
        }
    }

    @Test
    void closedPooledConnectionIsNotWrittenTo() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            client.write(claim());
            assertThat(client.read().status()).isEqualTo(200);
            ProxyFixture.awaitReusableConnections();
            // The event loop reads the request in the same iteration as the close of the connection that it would be
            // sent on.
            CountDownLatch unblock = fixture.blockLoop();
            client.write(claim());
            host.nextConnection().close();
            unblock.countDown();
            assertThat(client.read().status()).isEqualTo(200);
        }
    }

    @Test
    void settledIdleConnectionIsPreferredAndFreshOneIsNotSelected() {
        long millis = 1_000_000;
        ArrayDeque<Long> idle = new ArrayDeque<>(List.of(10 * millis, 20 * millis, 95 * millis, 99 * millis));
        assertThat(UpstreamPool.selectIdle(idle, at -> at, 100 * millis)).isEqualTo(20 * millis);
        assertThat(UpstreamPool.selectIdle(idle, at -> at, 200 * millis)).isEqualTo(99 * millis);
        assertThat(UpstreamPool.selectIdle(idle, at -> at, 30 * millis)).isEqualTo(10 * millis); // none has settled yet
        assertThat(UpstreamPool.selectIdle(idle, at -> at, 19 * millis)).isNull(); // a second copy may be on its way
        assertThat(UpstreamPool.selectIdle(new ArrayDeque<Long>(), at -> at, 0)).isNull();
    }

    @Test
    void connectionIsReusedForNextRequest() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            fixture.call(claim());
            ProxyFixture.awaitReusableConnections();
            fixture.call(claim());
            host.nextConnection();
            assertThat(host.hasMoreConnections()).isFalse();
        }
    }

    @Test
    void clientDisconnectEndsAttempt() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        ScriptedServer host = unresponsiveHost(ended);
        try (host;
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            try (TestPeer peer = fixture.client()) {
                peer.write(ProxyFixture.post("claim", 600_000, "", "x"));
                host.nextConnection();
            }
            ended.await();
        }
    }

    @Test
    void stalledResponseIsResetBeforeDeadline() throws Exception {
        for (String start : List.of("HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")) {
            ScriptedServer host = new ScriptedServer(peer -> {
                peer.read();
                peer.write(start);
                peer.awaitEnd();
            });
            try (host;
                    ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
                // With this deadline, only the stall timeout can end the attempt before the test's own reads time out.
                assertThat(fixture.call(ProxyFixture.post("claim", 600_000, "", "x"))
                                .status())
                        .isEqualTo(502);
            }
        }
    }

    @Test
    void interimResponseDoesNotBeginResponse() throws Exception {
        ScriptedServer host = ScriptedServer.host(
                message -> "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ScriptedServer.ok("later"));
        assertThat(claimAt(host).text()).isEqualTo("later");
    }

    @Test
    void responseWithoutLengthEndsWithConnection() throws Exception {
        for (int size : new int[] {0, 5, 60_000}) {
            String body = "x".repeat(size);
            ScriptedServer host = new ScriptedServer(peer -> {
                peer.read();
                peer.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body);
            });
            assertThat(claimAt(host).text()).isEqualTo(body);
        }
    }

    @Test
    void malformedOrOverlongResponseIsNotServed() throws Exception {
        String report = "X-Server-Load: rif=1,fail_rate=0\r\n";
        for (String response : new String[] {
            "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\nx",
            "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nx",
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\n" + report + "Content-Length: 3000000000\r\n\r\n" + "x".repeat(70_000),
            "HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\n" + "x".repeat(65_537),
            "HTTP/1.1 200 OK\r\n" + report + "\r\nno length, and it is kept open"
        }) {
            ScriptedServer host = new ScriptedServer(peer -> {
                peer.read();
                peer.write(response);
                peer.awaitEnd();
            });
            assertThat(claimAt(host).status()).as(response.substring(0, 40)).isEqualTo(502);
        }
    }

    @Test
    void responseWithoutLengthThatIsResetIsNotServed() throws Exception {
        ScriptedServer host = new ScriptedServer(peer -> {
            peer.read();
            peer.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
            peer.reset();
        });
        assertThat(claimAt(host).status()).isEqualTo(502);
    }
}
