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
        return new ScriptedServer(p -> {
            p.readHead();
            p.awaitEnd();
            ended.countDown();
        });
    }

    @Test
    void theFirstBytesOfALongAnswerDontWaitForTheLast() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        byte[] body = noise(100_000);
        try (ScriptedServer host = new ScriptedServer(p -> {
                    p.read();
                    p.write(head(body.length));
                    p.write(Arrays.copyOf(body, 10));
                    seen.await();
                    p.write(Arrays.copyOfRange(body, 10, body.length));
                    p.awaitEnd();
                });
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer c = rig.client()) {
            c.write(claim());
            assertThat(c.readHead()).contains("200 OK").containsIgnoringCase("content-length: 100000");
            assertThat(c.exactly(10)).isEqualTo(Arrays.copyOf(body, 10));
            Thread.sleep(1_000); // past the deadline of the class: what has begun is not cut off
            seen.countDown();
            assertThat(c.exactly(body.length - 10)).isEqualTo(Arrays.copyOfRange(body, 10, body.length));
        }
    }

    @Test
    void anAnswerOfUntoldLengthIsPassedOnAsItComes() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        byte[] part = noise(40_000);
        String chunk = Integer.toHexString(part.length) + "\r\n";
        try (ScriptedServer host = new ScriptedServer(p -> {
                    p.read();
                    p.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk);
                    p.write(part);
                    seen.await();
                    p.write("\r\n" + chunk);
                    p.write(part);
                    p.write("\r\n0\r\n\r\n");
                    p.awaitEnd();
                });
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer c = rig.client()) {
            c.write(claim());
            assertThat(c.readHead()).containsIgnoringCase("transfer-encoding: chunked");
            assertThat(c.readLine()).isNotEmpty(); // the first chunk has come while the host waits
            seen.countDown();
            while (!c.readLine().equals("0")) {
                // to the end of the last chunk
            }
        }
    }

    @Test
    void aReaderThatTakesNothingHoldsTheHostBackAndNotTheMemory() throws Exception {
        int length = 32 * MIB;
        AtomicLong given = new AtomicLong();
        byte[] part = noise(MIB / 8);
        try (ScriptedServer host = new ScriptedServer(p -> {
                    p.read();
                    p.write(head(length));
                    OutputStream out = p.socket.getOutputStream();
                    for (int sent = 0; sent < length; sent += part.length) {
                        out.write(part);
                        given.addAndGet(part.length);
                    }
                    p.awaitEnd();
                });
                ProxyFixture rig = new ProxyFixture(c -> {}, ProxyFixture.server("a", host.port()));
                TestPeer c = rig.client()) {
            c.socket.setReceiveBufferSize(64 * 1024);
            c.write(claim());
            c.readHead();
            long before;
            do {
                before = given.get();
                Thread.sleep(300);
            } while (before < MIB || given.get() != before);
            assertThat(given.get()).isLessThan(length); // it waits, with what the kernel holds on its way
            InputStream in = c.socket.getInputStream();
            for (int got = 0; got < length; got += part.length) {
                assertThat(in.readNBytes(part.length)).isEqualTo(part);
            }
            c.write(claim()); // the connection is of use again
            c.readHead();
        }
    }

    @Test
    void anAnswerThatBreaksHalfWayEndsWhereTheClientCanTell() throws Exception {
        AtomicLong asked = new AtomicLong();
        try (ScriptedServer host = new ScriptedServer(p -> {
                    p.read();
                    asked.incrementAndGet();
                    p.write(head(200_000));
                    p.write(noise(100_000));
                });
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer c = rig.client()) {
            c.write(ProxyFixture.post("log", 1_200, "Idempotency-Key: k\r\n", "x"));
            c.readHead();
            assertThat(c.socket.getInputStream().readAllBytes().length).isLessThan(200_000);
            assertThat(asked.get()).isEqualTo(1); // it has its answer: nothing more is sent for it
        }
    }

    @Test
    void aLongRequestReachesItsHostAsItComes() throws Exception {
        byte[] body = noise(3 * MIB);
        CountDownLatch half = new CountDownLatch(1);
        byte[][] got = new byte[1][];
        try (ScriptedServer host = new ScriptedServer(p -> {
                    String head = p.readHead();
                    byte[] first = p.exactly(MIB);
                    half.countDown();
                    byte[] rest = p.exactly(2 * MIB);
                    got[0] = Arrays.copyOf(first, body.length);
                    System.arraycopy(rest, 0, got[0], MIB, rest.length);
                    p.write(ScriptedServer.ok(
                            head.toLowerCase(Locale.ROOT).contains("content-length: 3145728") ? "whole" : head));
                    p.awaitEnd();
                });
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer c = rig.client()) {
            c.write(upload(body.length));
            c.socket.getOutputStream().write(body, 0, 2 * MIB);
            half.await();
            Thread.sleep(1_000); // its time runs from its last byte
            c.socket.getOutputStream().write(body, 2 * MIB, MIB);
            assertThat(c.read().text()).isEqualTo("whole");
            assertThat(got[0]).isEqualTo(body);
        }
    }

    @Test
    void aHostThatDiesUnderALongRequestIsNoReasonToSendItTwice() throws Exception {
        AtomicLong connections = new AtomicLong();
        try (ScriptedServer host = new ScriptedServer(p -> {
                    connections.incrementAndGet();
                    p.readHead();
                    p.exactly(200_000);
                });
                ProxyFixture rig =
                        new ProxyFixture(ProxyFixture.server("a", host.port()), ProxyFixture.server("b", host.port()));
                TestPeer c = rig.client()) {
            c.write(upload(MIB));
            c.write(noise(MIB / 2));
            assertThat(c.read().status()).isEqualTo(503); // it never ran: harmless to ask again
            assertThat(connections.get()).isEqualTo(1);
            c.write(noise(MIB / 2));
            c.write(ProxyFixture.head("GET", "read", 800, "") + "\r\n"); // behind the rest of what was refused
            assertThat(c.read()).isNotNull();
        }
    }

    @Test
    void aLongRequestThatIsOverdueGetsNoSecondCopyWithoutItsBody() throws Exception {
        AtomicLong heads = new AtomicLong();
        try (ScriptedServer host = new ScriptedServer(p -> {
                    p.readHead();
                    heads.incrementAndGet();
                    p.exactly(MIB);
                    Thread.sleep(1_000); // overdue after some 600 ms
                    p.write(ScriptedServer.ok("late"));
                    p.awaitEnd();
                });
                ProxyFixture rig =
                        new ProxyFixture(ProxyFixture.server("a", host.port()), ProxyFixture.server("b", host.port()));
                TestPeer c = rig.client()) {
            c.write(ProxyFixture.head("POST", "log", 1_200, "Idempotency-Key: k\r\n") + "Content-Length: " + MIB
                    + "\r\n\r\n");
            c.write(noise(MIB));
            assertThat(c.read().text()).isEqualTo("late");
            assertThat(heads.get()).isEqualTo(1);
        }
    }

    @Test
    void aHostThatHangsUnderALongRequestIsGivenUp() throws Exception {
        try (ScriptedServer host = new ScriptedServer(p -> {
                    p.readHead();
                    new CountDownLatch(1).await(); // takes what its kernel takes
                });
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer c = rig.client()) {
            Thread writer = new Thread(() -> {
                try {
                    c.write(upload(32 * MIB));
                    c.write(noise(32 * MIB));
                } catch (java.io.IOException e) {
                    // the answer is there all the same
                }
            });
            writer.setDaemon(true);
            writer.start();
            assertThat(c.read().status()).isEqualTo(503);
            writer.join(); // the rest is read and thrown away
        }
    }

    @Test
    void aLongRequestThatNobodyMayTakeIsRefusedAtOnce() throws Exception {
        try (ProxyFixture rig = new ProxyFixture();
                TestPeer c = rig.client()) {
            c.write(upload(MIB));
            c.write(noise(100_000));
            assertThat(c.read().status()).isEqualTo(503);
        }
    }

    @Test
    void aLongRequestWhoseClientGoesNeverRuns() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        try (ScriptedServer host = hanging(ended);
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()))) {
            try (TestPeer c = rig.client()) {
                c.write(upload(MIB));
                c.write(noise(100_000));
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
                TestPeer c = rig.client()) {
            c.write(upload(MIB));
            c.write(noise(100_000));
            assertThat(c.read().status()).isEqualTo(408);
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
        try (ScriptedServer host = ScriptedServer.host(r -> ScriptedServer.ok("x"));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer c = rig.client()) {
            String request = claim();
            c.write(request.substring(0, 30));
            Thread.sleep(1_950);
            c.write(request.substring(30));
            assertThat(c.read().status()).isEqualTo(200);
        }
    }

    @Test
    void aTargetInAbsoluteFormGoesOnInOriginForm() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(r -> ScriptedServer.ok(r.line() + r.header("Host")));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()))) {
            assertThat(rig.call(claim().replace("POST /claim ", "POST HTTP://other.internal/claim?a=/b "))
                            .text())
                    .isEqualTo("POST /claim?a=/b HTTP/1.1other.internal");
        }
    }

    @Test
    void longBodiesAreCountedAtTheirEnd() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (ScriptedServer host = new ScriptedServer(p -> {
                    p.read();
                    p.write(head(100_000));
                    p.write(noise(1));
                    go.await();
                    p.write(noise(99_999));
                    p.awaitEnd();
                });
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer c = rig.client()) {
            c.write(claim());
            c.readHead();
            String during = figures(rig);
            go.countDown();
            c.exactly(100_000);
            while (!figures(rig).contains("proxy.completed.claim:1|c")) {
                Thread.sleep(5);
            }
            assertThat(during).contains("proxy.pending:1|g", "proxy.completed.claim:0|c");
            assertThat(figures(rig)).contains("proxy.pending:0|g");
        }
    }

    private static String figures(ProxyFixture rig) {
        return rig.proxy.figures().text();
    }
}
