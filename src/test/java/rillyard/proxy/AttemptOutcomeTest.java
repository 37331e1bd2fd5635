package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import rillyard.proxy.upstream.UpstreamPool;

/** Every way an attempt can end, told apart by what may be done next. */
class AttemptOutcomeTest {
    private static String claim() {
        return ProxyFixture.post("claim", 800, "", "visit=1");
    }

    /** Sends an unsafe request to a host of this script; its one attempt decides the answer. */
    private static TestPeer.Message claimAt(ScriptedServer host) throws Exception {
        try (host;
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()))) {
            return rig.call(claim());
        }
    }

    /** A host that never answers and tells when its connection has ended. */
    private static ScriptedServer silent(CountDownLatch ended) throws Exception {
        return new ScriptedServer(peer -> {
            peer.read();
            peer.awaitEnd();
            ended.countDown();
        });
    }

    @Test
    void servesTheBodyUnchangedAndReadsTheReport() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(
                        message -> "HTTP/1.1 200 OK\r\nX-Server-Load: rif=3,fail_rate=0.5\r\nX-Kept: yes\r\n"
                                + "Content-Length: 5\r\n\r\nh\0llo");
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()))) {
            TestPeer.Message answer = rig.call(ProxyFixture.post("claim", 800, "X-Tenant-Id: acme\r\n", "visit=1"));
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.text()).isEqualTo("h\0llo");
            assertThat(answer.header("X-Kept")).isEqualTo("yes");
            TestPeer.Message seen = host.request();
            assertThat(seen.line()).isEqualTo("POST /claim HTTP/1.1");
            assertThat(seen.text()).isEqualTo("visit=1");
            assertThat(seen.header("X-Request-ID")).isNotBlank();
            assertThat(seen.header("X-Tenant-Id")).isEqualTo("acme");
            assertThat(Integer.parseInt(seen.header("X-Timeout-Ms"))).isBetween(1, 800);
        }
    }

    @Test
    void refusedConnectNeverRan() throws Exception {
        try (ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", ProxyFixture.freePort()))) {
            assertThat(rig.call(claim()).status()).isEqualTo(503);
        }
    }

    @Test
    void connectThatNeverComesUpNeverRan() throws Exception {
        List<Socket> filling = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            for (int i = 0; i < 2; i++) { // a backlog of one holds two
                filling.add(new Socket(InetAddress.getLoopbackAddress(), full.getLocalPort()));
            }
            try (ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", full.getLocalPort()))) {
                assertThat(rig.call(claim()).status()).isEqualTo(503);
            }
        } finally {
            for (Socket socket : filling) {
                socket.close();
            }
        }
    }

    @Test
    void breakAfterTheLastByteMayHaveRun() throws Exception {
        ScriptedServer host = new ScriptedServer(peer -> {
            peer.read();
            peer.reset();
        });
        assertThat(claimAt(host).status()).isEqualTo(502);
    }

    @Test
    void endAfterTheLastByteMayHaveRun() throws Exception {
        assertThat(claimAt(new ScriptedServer(TestPeer::read)).status()).isEqualTo(502);
    }

    @Test
    void errorMayHaveRun() throws Exception {
        assertThat(claimAt(ScriptedServer.host(message -> ScriptedServer.status(500, "")))
                        .status())
                .isEqualTo(502);
    }

    @Test
    void fullWithoutTheHeaderMayHaveRun() throws Exception {
        assertThat(claimAt(ScriptedServer.host(message -> ScriptedServer.status(503, "")))
                        .status())
                .isEqualTo(502);
    }

    @Test
    void turnedAwayNeverRanAndIsSentElsewhere() throws Exception {
        for (int status : new int[] {503, 504}) {
            CountDownLatch turned = new CountDownLatch(1);
            ScriptedServer.Reply reply = message -> {
                if (turned.getCount() > 0) {
                    turned.countDown();
                    return ScriptedServer.status(status, "X-Not-Processed: 1\r\n");
                }
                return ScriptedServer.ok("done");
            };
            try (ScriptedServer server = ScriptedServer.host(reply);
                    ScriptedServer scriptedServer = ScriptedServer.host(reply);
                    ProxyFixture rig = new ProxyFixture(
                            ProxyFixture.server("a", server.port()), ProxyFixture.server("b", scriptedServer.port()))) {
                assertThat(rig.call(claim()).text()).isEqualTo("done");
                assertThat(server.requests).hasSize(1);
                assertThat(scriptedServer.requests).hasSize(1);
            }
        }
    }

    @Test
    void silenceEndsAtTheDeadline() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        ScriptedServer host = silent(ended);
        try (host;
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()))) {
            assertThat(rig.call(ProxyFixture.post("claim", 150, "", "x")).status())
                    .isEqualTo(504);
            ended.await(); // the time-out has closed the host's connection
        }
    }

    @Test
    void keyedRequestIsRepeatedInItsCellOnly() throws Exception {
        ScriptedServer.Reply error = message -> ScriptedServer.status(500, "");
        try (ScriptedServer server = ScriptedServer.host(error);
                ScriptedServer scriptedServer = ScriptedServer.host(error);
                ScriptedServer other = ScriptedServer.host(error);
                ProxyFixture rig = new ProxyFixture(
                        ProxyFixture.server("a", server.port(), 1, "up"),
                        ProxyFixture.server("b", scriptedServer.port(), 1, "up"),
                        ProxyFixture.server("c", other.port(), 2, "draining"))) {
            rig.tell(2, false, ProxyFixture.server("c", other.port(), 2, "up"));
            for (int i = 0; i < 20; i++) {
                rig.call(ProxyFixture.post("log", 1_200, "Idempotency-Key: k" + i + "\r\n", "x"));
            }
            java.util.Map<String, Boolean> cells = new java.util.HashMap<>();
            for (TestPeer.Message m : other.requests) {
                cells.put(m.header("Idempotency-Key"), true);
            }
            for (ScriptedServer s : List.of(server, scriptedServer)) {
                for (TestPeer.Message m : s.requests) {
                    assertThat(cells).doesNotContainKey(m.header("Idempotency-Key"));
                }
            }
            assertThat(server.requests.size() + scriptedServer.requests.size()).isPositive();
        }
    }

    @Test
    void malformedReplyIsAReset() throws Exception {
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
    void surplusBytesNeverReachTheNextRequest() throws Exception {
        try (ScriptedServer host =
                        ScriptedServer.host(message -> ScriptedServer.ok("mine") + ScriptedServer.ok("stray"));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()))) {
            for (int i = 0; i < 5; i++) {
                assertThat(rig.call(claim()).text()).isEqualTo("mine");
            }
        }
    }

    @Test
    void pooledConnectionThatEndedIsNotWrittenTo() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer client = rig.client()) {
            client.write(claim());
            assertThat(client.read().status()).isEqualTo(200);
            // The request and the end of the connection it would be sent on come in the same turn.
            CountDownLatch open = rig.blockLoop();
            client.write(claim());
            host.accepted().close();
            open.countDown();
            assertThat(client.read().status()).isEqualTo(200);
        }
    }

    @Test
    void connectionThatHasStoodIsTakenBeforeOneThatMayBeEnding() {
        long ms = 1_000_000;
        ArrayDeque<Long> idle = new ArrayDeque<>(List.of(10 * ms, 20 * ms, 95 * ms, 99 * ms));
        assertThat(UpstreamPool.selectIdle(idle, at -> at, 100 * ms)).isEqualTo(20 * ms);
        assertThat(UpstreamPool.selectIdle(idle, at -> at, 200 * ms)).isEqualTo(99 * ms);
        assertThat(UpstreamPool.selectIdle(idle, at -> at, 30 * ms)).isEqualTo(10 * ms); // none has stood
        assertThat(UpstreamPool.selectIdle(new ArrayDeque<Long>(), at -> at, 0)).isNull();
    }

    @Test
    void connectionIsKeptForTheNextRequest() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()))) {
            rig.call(claim());
            rig.call(claim());
            host.accepted();
            assertThat(host.acceptedMore()).isFalse();
        }
    }

    @Test
    void clientThatLeavesEndsItsAttempt() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        ScriptedServer host = silent(ended);
        try (host;
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()))) {
            try (TestPeer peer = rig.client()) {
                peer.write(ProxyFixture.post("claim", 600_000, "", "x"));
                host.accepted();
            }
            ended.await();
        }
    }

    @Test
    void answerThatStopsHalfWayIsAResetLongBeforeTheDeadline() throws Exception {
        for (String begun : List.of("HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")) {
            ScriptedServer host = new ScriptedServer(peer -> {
                peer.read();
                peer.write(begun);
                peer.awaitEnd();
            });
            try (host;
                    ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()))) {
                // With this deadline only the stall can end it before the test's own reads give up.
                assertThat(rig.call(ProxyFixture.post("claim", 600_000, "", "x"))
                                .status())
                        .isEqualTo(502);
            }
        }
    }

    @Test
    void interimAnswerIsNoAnswerThatHasBegun() throws Exception {
        ScriptedServer host = ScriptedServer.host(
                message -> "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ScriptedServer.ok("later"));
        assertThat(claimAt(host).text()).isEqualTo("later");
    }

    @Test
    void answerWithoutALengthEndsWithItsConnection() throws Exception {
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
    void answerThatCantBeReadOrIsTooLongIsNotServed() throws Exception {
        String report = "X-Server-Load: rif=1,fail_rate=0\r\n";
        for (String bad : new String[] {
            "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\nx",
            "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nx",
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\n" + report + "Content-Length: 3000000000\r\n\r\n" + "x".repeat(70_000),
            "HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\n" + "x".repeat(65_537),
            "HTTP/1.1 200 OK\r\n" + report + "\r\nno length, and it is kept open"
        }) {
            ScriptedServer host = new ScriptedServer(peer -> {
                peer.read();
                peer.write(bad);
                peer.awaitEnd();
            });
            assertThat(claimAt(host).status()).as(bad.substring(0, 40)).isEqualTo(502);
        }
    }

    @Test
    void answerWithoutALengthThatIsResetIsNotServed() throws Exception {
        ScriptedServer host = new ScriptedServer(peer -> {
            peer.read();
            peer.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
            peer.reset();
        });
        assertThat(claimAt(host).status()).isEqualTo(502);
    }
}
