package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Bodies that are longer than may be held, in both directions. */
@Timeout(value = 90, unit = TimeUnit.SECONDS)
class StreamingBodyTest {
    private static final int MIB = 1 << 20;

    private static byte[] noise(int length) {
        byte[] b = new byte[length];
        new Random(7).nextBytes(b);
        return b;
    }

    private static String head(int length) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private static String claim() {
        return ProxyFixture.post("claim", 800, "", "x");
    }

    private static String upload(int length) {
        return ProxyFixture.head("POST", "claim", 800, "") + "Content-Length: " + length + "\r\n\r\n";
    }

    /** A host that reads a head and nothing more, and tells when its connection has ended. */
    private static ScriptedServer hanging(CountDownLatch ended) throws Exception {
        return new ScriptedServer(peer -> {
            peer.readHead();
            peer.awaitEnd();
            ended.countDown();
        });
    }

    @Test
    void theFirstBytesOfALongAnswerDontWaitForTheLast() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        byte[] body = noise(100_000);
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    peer.write(head(body.length));
                    peer.write(Arrays.copyOf(body, 10));
                    seen.await();
                    peer.write(Arrays.copyOfRange(body, 10, body.length));
                    peer.awaitEnd();
                });
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer testPeer = rig.client()) {
            testPeer.write(claim());
            assertThat(testPeer.readHead()).contains("200 OK").containsIgnoringCase("content-length: 100000");
            assertThat(testPeer.exactly(10)).isEqualTo(Arrays.copyOf(body, 10));
            Thread.sleep(1_000); // past the deadline of the class: what has begun is not cut off
            seen.countDown();
            assertThat(testPeer.exactly(body.length - 10)).isEqualTo(Arrays.copyOfRange(body, 10, body.length));
        }
    }

    @Test
    void anAnswerOfUntoldLengthIsPassedOnAsItComes() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        byte[] part = noise(40_000);
        String chunk = Integer.toHexString(part.length) + "\r\n";
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk);
                    peer.write(part);
                    seen.await();
                    peer.write("\r\n" + chunk);
                    peer.write(part);
                    peer.write("\r\n0\r\n\r\n");
                    peer.awaitEnd();
                });
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer testPeer = rig.client()) {
            testPeer.write(claim());
            assertThat(testPeer.readHead()).containsIgnoringCase("transfer-encoding: chunked");
            assertThat(testPeer.readLine()).isNotEmpty(); // the first chunk has come while the host waits
            seen.countDown();
            while (!testPeer.readLine().equals("0")) {
                // to the end of the last chunk
            }
        }
    }

    @Test
    void aReaderThatTakesNothingHoldsTheHostBackAndNotTheMemory() throws Exception {
        int length = 32 * MIB;
        AtomicLong given = new AtomicLong();
        byte[] part = noise(MIB / 8);
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    peer.write(head(length));
                    OutputStream out = peer.socket.getOutputStream();
                    for (int sent = 0; sent < length; sent += part.length) {
                        out.write(part);
                        given.addAndGet(part.length);
                    }
                    peer.awaitEnd();
                });
                ProxyFixture rig = new ProxyFixture(config -> {}, ProxyFixture.server("a", host.port()));
                TestPeer testPeer = rig.client()) {
            testPeer.socket.setReceiveBufferSize(64 * 1024);
            testPeer.write(claim());
            testPeer.readHead();
            long before;
            do {
                before = given.get();
                Thread.sleep(300);
            } while (before < MIB || given.get() != before);
            assertThat(given.get()).isLessThan(length); // it waits, with what the kernel holds on its way
            InputStream in = testPeer.socket.getInputStream();
            for (int got = 0; got < length; got += part.length) {
                assertThat(in.readNBytes(part.length)).isEqualTo(part);
            }
            testPeer.write(claim()); // the connection is of use again
            testPeer.readHead();
        }
    }

    @Test
    void anAnswerThatBreaksHalfWayEndsWhereTheClientCanTell() throws Exception {
        AtomicLong asked = new AtomicLong();
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    asked.incrementAndGet();
                    peer.write(head(200_000));
                    peer.write(noise(100_000));
                });
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer testPeer = rig.client()) {
            testPeer.write(ProxyFixture.post("log", 1_200, "Idempotency-Key: k\r\n", "x"));
            testPeer.readHead();
            assertThat(testPeer.socket.getInputStream().readAllBytes().length).isLessThan(200_000);
            assertThat(asked.get()).isEqualTo(1); // it has its answer: nothing more is sent for it
        }
    }

    @Test
    void aLongRequestReachesItsHostAsItComes() throws Exception {
        byte[] body = noise(3 * MIB);
        CountDownLatch half = new CountDownLatch(1);
        byte[][] got = new byte[1][];
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    String head = peer.readHead();
                    byte[] first = peer.exactly(MIB);
                    half.countDown();
                    byte[] rest = peer.exactly(2 * MIB);
                    got[0] = Arrays.copyOf(first, body.length);
                    System.arraycopy(rest, 0, got[0], MIB, rest.length);
                    peer.write(ScriptedServer.ok(
                            head.toLowerCase(Locale.ROOT).contains("content-length: 3145728") ? "whole" : head));
                    peer.awaitEnd();
                });
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer testPeer = rig.client()) {
            testPeer.write(upload(body.length));
            testPeer.socket.getOutputStream().write(body, 0, 2 * MIB);
            half.await();
            Thread.sleep(1_000); // its time runs from its last byte
            testPeer.socket.getOutputStream().write(body, 2 * MIB, MIB);
            assertThat(testPeer.read().text()).isEqualTo("whole");
            assertThat(got[0]).isEqualTo(body);
        }
    }

    @Test
    void aHostThatDiesUnderALongRequestIsNoReasonToSendItTwice() throws Exception {
        AtomicLong connections = new AtomicLong();
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    connections.incrementAndGet();
                    peer.readHead();
                    peer.exactly(200_000);
                });
                ProxyFixture rig =
                        new ProxyFixture(ProxyFixture.server("a", host.port()), ProxyFixture.server("b", host.port()));
                TestPeer testPeer = rig.client()) {
            testPeer.write(upload(MIB));
            testPeer.write(noise(MIB / 2));
            assertThat(testPeer.read().status()).isEqualTo(503); // it never ran: harmless to ask again
            assertThat(connections.get()).isEqualTo(1);
            testPeer.write(noise(MIB / 2));
            testPeer.write(ProxyFixture.head("GET", "read", 800, "") + "\r\n"); // behind the rest of what was refused
            assertThat(testPeer.read()).isNotNull();
        }
    }

    @Test
    void aLongRequestThatIsOverdueGetsNoSecondCopyWithoutItsBody() throws Exception {
        AtomicLong heads = new AtomicLong();
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.readHead();
                    heads.incrementAndGet();
                    peer.exactly(MIB);
                    Thread.sleep(1_000); // overdue after some 600 ms
                    peer.write(ScriptedServer.ok("late"));
                    peer.awaitEnd();
                });
                ProxyFixture rig =
                        new ProxyFixture(ProxyFixture.server("a", host.port()), ProxyFixture.server("b", host.port()));
                TestPeer testPeer = rig.client()) {
            testPeer.write(ProxyFixture.head("POST", "log", 1_200, "Idempotency-Key: k\r\n") + "Content-Length: " + MIB
                    + "\r\n\r\n");
            testPeer.write(noise(MIB));
            assertThat(testPeer.read().text()).isEqualTo("late");
            assertThat(heads.get()).isEqualTo(1);
        }
    }

    @Test
    void aHostThatHangsUnderALongRequestIsGivenUp() throws Exception {
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.readHead();
                    new CountDownLatch(1).await(); // takes what its kernel takes
                });
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer testPeer = rig.client()) {
            Thread writer = new Thread(() -> {
                try {
                    testPeer.write(upload(32 * MIB));
                    testPeer.write(noise(32 * MIB));
                } catch (java.io.IOException e) {
                    // the answer is there all the same
                }
            });
            writer.setDaemon(true);
            writer.start();
            assertThat(testPeer.read().status()).isEqualTo(503);
            writer.join(); // the rest is read and thrown away
        }
    }

    @Test
    void aLongRequestThatNobodyMayTakeIsRefusedAtOnce() throws Exception {
        try (ProxyFixture rig = new ProxyFixture();
                TestPeer peer = rig.client()) {
            peer.write(upload(MIB));
            peer.write(noise(100_000));
            assertThat(peer.read().status()).isEqualTo(503);
        }
    }

    @Test
    void aLongRequestWhoseClientGoesNeverRuns() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        try (ScriptedServer host = hanging(ended);
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()))) {
            try (TestPeer peer = rig.client()) {
                peer.write(upload(MIB));
                peer.write(noise(100_000));
                host.accepted();
            }
            ended.await();
        }
    }

    @Test
    void aLongRequestThatFallsSilentIsEnded() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        try (ScriptedServer host = hanging(ended);
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer peer = rig.client()) {
            peer.write(upload(MIB));
            peer.write(noise(100_000));
            assertThat(peer.read().status()).isEqualTo(408);
            ended.await();
        }
    }

    @Test
    void whatIsTooLongIsRejected() throws Exception {
        try (ProxyFixture rig = new ProxyFixture()) {
            assertThat(rig.call(upload(32 * MIB + 1)).status()).isEqualTo(413);
        }
    }

    @Test
    void aHeadMayTakeTwoSeconds() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer peer = rig.client()) {
            String request = claim();
            peer.write(request.substring(0, 30));
            Thread.sleep(1_950);
            peer.write(request.substring(30));
            assertThat(peer.read().status()).isEqualTo(200);
        }
    }

    @Test
    void aTargetInAbsoluteFormGoesOnInOriginForm() throws Exception {
        try (ScriptedServer host =
                        ScriptedServer.host(message -> ScriptedServer.ok(message.line() + message.header("Host")));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()))) {
            assertThat(rig.call(claim().replace("POST /claim ", "POST HTTP://other.internal/claim?a=/b "))
                            .text())
                    .isEqualTo("POST /claim?a=/b HTTP/1.1other.internal");
        }
    }

    @Test
    void longBodiesAreCountedAtTheirEnd() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    peer.write(head(100_000));
                    peer.write(noise(1));
                    go.await();
                    peer.write(noise(99_999));
                    peer.awaitEnd();
                });
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer testPeer = rig.client()) {
            testPeer.write(claim());
            testPeer.readHead();
            String during = figures(rig);
            go.countDown();
            testPeer.exactly(100_000);
            while (!figures(rig).contains("proxy.completed.claim:1|c")) {
                Thread.sleep(5);
            }
            assertThat(during).contains("proxy.pending:1|g", "proxy.completed.claim:0|c");
            assertThat(figures(rig)).contains("proxy.pending:0|g");
        }
    }

    private static String figures(ProxyFixture rig) {
        return rig.proxy.metrics().text();
    }
}
