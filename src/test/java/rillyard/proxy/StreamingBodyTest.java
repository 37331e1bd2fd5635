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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests and responses too long to be buffered that are lost, cut off or reordered while they are
 * forwarded, or that are retried although part of them has been forwarded.
 */
@Timeout(value = 90, unit = TimeUnit.SECONDS)
class StreamingBodyTest {
    private static final int MIB = 1 << 20;

    /** Time (ms) for which a host pauses; the longest pause that the settings of a site name is 230 ms. */
    private static final int PAUSE_MILLIS = 230;

    private static byte[] randomBytes(int length) {
        byte[] bytes = new byte[length];
        new Random(7).nextBytes(bytes);
        return bytes;
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

    /** Starts a host that reads a request's head, never responds, and counts down when its connection has ended. */
    private static ScriptedServer unresponsiveHost(CountDownLatch ended) throws Exception {
        return new ScriptedServer(peer -> {
            peer.readHead();
            peer.awaitEnd();
            ended.countDown();
        });
    }

    @Test
    void longResponseIsForwardedWhileItArrives() throws Exception {
        CountDownLatch clientHasRead = new CountDownLatch(1);
        byte[] body = randomBytes(100_000);
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    peer.write(head(body.length));
                    peer.write(Arrays.copyOf(body, 10));
                    clientHasRead.await();
                    peer.write(Arrays.copyOfRange(body, 10, body.length));
                    peer.awaitEnd();
                });
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            client.write(claim());
            assertThat(client.readHead()).contains("200 OK").containsIgnoringCase("content-length: 100000");
            assertThat(client.readExactly(10)).isEqualTo(Arrays.copyOf(body, 10));
            Thread.sleep(1_000); // past the deadline of the class: a response that has begun goes on
            clientHasRead.countDown();
            assertThat(client.readExactly(body.length - 10)).isEqualTo(Arrays.copyOfRange(body, 10, body.length));
        }
    }

    @Test
    void responseOfUnknownLengthIsForwardedWhileItArrives() throws Exception {
        CountDownLatch clientHasRead = new CountDownLatch(1);
        byte[] part = randomBytes(40_000);
        String chunk = Integer.toHexString(part.length) + "\r\n";
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk);
                    peer.write(part);
                    clientHasRead.await();
                    peer.write("\r\n" + chunk);
                    peer.write(part);
                    peer.write("\r\n0\r\n\r\n");
                    peer.awaitEnd();
                });
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            client.write(claim());
            assertThat(client.readHead()).containsIgnoringCase("transfer-encoding: chunked");
            assertThat(client.readLine()).isNotEmpty(); // the first chunk arrives while the host waits
            clientHasRead.countDown();
            while (!client.readLine().equals("0")) {
                // to the end of the last chunk
            }
        }
    }

    /**
     * Guards a long response of unknown length whose host pauses: it was cut off when no part of it came for 150 ms before
     * its forwarding had begun.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nTransfer-Enco|ding: chunked\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n|",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfi|rst\r\n",
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n|",
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfi|rst"
            })
    void longResponseOfUnknownLengthIsForwardedThoughItsHostPauses(String beginning) throws Exception {
        String part = "x".repeat(60_000);
        boolean chunked = beginning.contains("chunked");
        String rest = chunked ? ("ea60\r\n" + part + "\r\n").repeat(2) + "0\r\n\r\n" : part.repeat(2);
        int pauseAt = beginning.indexOf('|');
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    peer.write(beginning.substring(0, pauseAt));
                    Thread.sleep(PAUSE_MILLIS);
                    peer.write(beginning.substring(pauseAt + 1) + rest);
                    if (chunked) {
                        peer.awaitEnd();
                    }
                });
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            TestPeer.Message response = fixture.call(claim());
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.text()).hasSize((beginning.contains("fi") ? 5 : 0) + 2 * part.length());
        }
    }

    /** Guards a request whose host stops within a response that may be a short one: it has to end in time. */
    @ParameterizedTest
    @ValueSource(strings = {"", "5\r\nfirst\r\n"})
    void responseOfUnknownLengthThatStopsEndsInTime(String beginning) throws Exception {
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + beginning);
                    peer.awaitEnd();
                });
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            long sentAtNanos = System.nanoTime();
            client.write(claim());
            assertThat(client.readHead()).contains("200 OK");
            byte[] body = client.socket.getInputStream().readAllBytes();
            long elapsedMillis = (System.nanoTime() - sentAtNanos) / 1_000_000;
            assertThat(new String(body, java.nio.charset.StandardCharsets.US_ASCII))
                    .isEqualTo(beginning); // without the last chunk, so that the client can tell
            assertThat(elapsedMillis)
                    .isBetween(800L, 1_300L); // its timeout, and the 500 ms past which it counts as lost
        }
    }

    @Test
    void unreadResponseAppliesBackPressureToHost() throws Exception {
        int length = 32 * MIB;
        AtomicLong sentBytes = new AtomicLong();
        byte[] part = randomBytes(MIB / 8);
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    peer.write(head(length));
                    OutputStream out = peer.socket.getOutputStream();
                    for (int sent = 0; sent < length; sent += part.length) {
                        out.write(part);
                        sentBytes.addAndGet(part.length);
                    }
                    peer.awaitEnd();
                });
                ProxyFixture fixture = new ProxyFixture(config -> {}, ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            client.socket.setReceiveBufferSize(64 * 1024);
            client.write(claim());
            client.readHead();
            long bytesBefore;
            do {
                bytesBefore = sentBytes.get();
                Thread.sleep(300);
            } while (bytesBefore < MIB || sentBytes.get() != bytesBefore);
            assertThat(sentBytes.get()).isLessThan(length); // the host's write blocks, as the kernel's buffers are full
            InputStream in = client.socket.getInputStream();
            for (int received = 0; received < length; received += part.length) {
                assertThat(in.readNBytes(part.length)).isEqualTo(part);
            }
            client.write(claim()); // the connection is usable again
            client.readHead();
        }
    }

    @Test
    void brokenForwardedResponseIsVisiblyIncomplete() throws Exception {
        AtomicLong requestCount = new AtomicLong();
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    requestCount.incrementAndGet();
                    peer.write(head(200_000));
                    peer.write(randomBytes(100_000));
                });
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            client.write(ProxyFixture.post("log", 1_200, "Idempotency-Key: k\r\n", "x"));
            client.readHead();
            assertThat(client.socket.getInputStream().readAllBytes().length).isLessThan(200_000);
            assertThat(requestCount.get()).isEqualTo(1); // the client has the response's head, so there is no retry
        }
    }

    @Test
    void longRequestIsForwardedWhileItArrives() throws Exception {
        byte[] body = randomBytes(3 * MIB);
        CountDownLatch halfReceived = new CountDownLatch(1);
        byte[][] received = new byte[1][];
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    String head = peer.readHead();
                    byte[] first = peer.readExactly(MIB);
                    halfReceived.countDown();
                    byte[] rest = peer.readExactly(2 * MIB);
                    received[0] = Arrays.copyOf(first, body.length);
                    System.arraycopy(rest, 0, received[0], MIB, rest.length);
                    peer.write(ScriptedServer.ok(
                            head.toLowerCase(Locale.ROOT).contains("content-length: 3145728") ? "whole" : head));
                    peer.awaitEnd();
                });
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            client.write(upload(body.length));
            client.socket.getOutputStream().write(body, 0, 2 * MIB);
            halfReceived.await();
            Thread.sleep(1_000); // the timeout starts at the last byte of the request
            client.socket.getOutputStream().write(body, 2 * MIB, MIB);
            assertThat(client.read().text()).isEqualTo("whole");
            assertThat(received[0]).isEqualTo(body);
        }
    }

    @Test
    void hostFailureDuringUploadCausesNoRetry() throws Exception {
        AtomicLong connections = new AtomicLong();
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    connections.incrementAndGet();
                    peer.readHead();
                    peer.readExactly(200_000);
                });
                ProxyFixture fixture = new ProxyFixture(
                        ProxyFixture.endpoint("a", host.port()), ProxyFixture.endpoint("b", host.port()));
                TestPeer client = fixture.client()) {
            client.write(upload(MIB));
            client.write(randomBytes(MIB / 2));
            assertThat(client.read().status()).isEqualTo(503); // the request was not executed: a retry is harmless
            assertThat(connections.get()).isEqualTo(1);
            client.write(randomBytes(MIB / 2));
            client.write(ProxyFixture.head("GET", "read", 800, "") + "\r\n"); // behind the rest of the rejected request
            assertThat(client.read()).isNotNull();
        }
    }

    @Test
    void overdueUploadIsNotHedged() throws Exception {
        AtomicLong heads = new AtomicLong();
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.readHead();
                    heads.incrementAndGet();
                    peer.readExactly(MIB);
                    Thread.sleep(1_000); // would be hedged after about 600 ms
                    peer.write(ScriptedServer.ok("late"));
                    peer.awaitEnd();
                });
                ProxyFixture fixture = new ProxyFixture(
                        ProxyFixture.endpoint("a", host.port()), ProxyFixture.endpoint("b", host.port()));
                TestPeer client = fixture.client()) {
            client.write(ProxyFixture.head("POST", "log", 1_200, "Idempotency-Key: k\r\n") + "Content-Length: " + MIB
                    + "\r\n\r\n");
            client.write(randomBytes(MIB));
            assertThat(client.read().text()).isEqualTo("late");
            assertThat(heads.get()).isEqualTo(1);
        }
    }

    @Test
    void unresponsiveHostDuringUploadIsGivenUp() throws Exception {
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.readHead();
                    new CountDownLatch(1).await(); // the host reads no more; only its kernel's buffers fill
                });
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            Thread writer = new Thread(() -> {
                try {
                    client.write(upload(32 * MIB));
                    client.write(randomBytes(32 * MIB));
                } catch (java.io.IOException e) {
                    // the response can be read all the same
                }
            });
            writer.setDaemon(true);
            writer.start();
            assertThat(client.read().status()).isEqualTo(503);
            writer.join(); // the rest is read and discarded
        }
    }

    /** Guards a long request to a host that reads nothing of it: the client may have sent all, and its time passes. */
    @Test
    void uploadThatHostDoesNotReadEndsInTime() throws Exception {
        try (ScriptedServer host = new ScriptedServer(peer -> new CountDownLatch(1).await());
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            Thread writer = new Thread(() -> {
                try {
                    client.write(upload(32 * MIB)); // more than the kernel takes for the host and from the client
                    client.write(randomBytes(32 * MIB));
                } catch (java.io.IOException e) {
                    // the response can be read all the same
                }
            });
            long sentAtNanos = System.nanoTime();
            writer.start();
            assertThat(client.read().status()).isEqualTo(503);
            long elapsedMillis = (System.nanoTime() - sentAtNanos) / 1_000_000;
            assertThat(elapsedMillis)
                    .isBetween(800L, 1_300L); // its timeout, and the 500 ms past which it counts as lost
            writer.join(); // the rest is read and discarded
        }
    }

    @Test
    void uploadWithoutHostIsRejectedAtOnce() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture();
                TestPeer peer = fixture.client()) {
            peer.write(upload(MIB));
            peer.write(randomBytes(100_000));
            assertThat(peer.read().status()).isEqualTo(503);
        }
    }

    @Test
    void uploadOfDisconnectedClientNeverRuns() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        try (ScriptedServer host = unresponsiveHost(ended);
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            try (TestPeer peer = fixture.client()) {
                peer.write(upload(MIB));
                peer.write(randomBytes(100_000));
                host.nextConnection();
            }
            ended.await();
        }
    }

    @Test
    void stalledUploadTimesOut() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        try (ScriptedServer host = unresponsiveHost(ended);
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer peer = fixture.client()) {
            peer.write(upload(MIB));
            peer.write(randomBytes(100_000));
            assertThat(peer.read().status()).isEqualTo(408);
            ended.await();
        }
    }

    @Test
    void overlongBodyIsRejected() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture()) {
            assertThat(fixture.call(upload(32 * MIB + 1)).status()).isEqualTo(413);
        }
    }

    @Test
    void headWithinTwoSecondsIsServed() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer peer = fixture.client()) {
            String request = claim();
            peer.write(request.substring(0, 30));
            Thread.sleep(1_950);
            peer.write(request.substring(30));
            assertThat(peer.read().status()).isEqualTo(200);
        }
    }

    @Test
    void absoluteFormTargetIsForwardedInOriginForm() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(
                        message -> ScriptedServer.ok(message.startLine() + message.header("Host")));
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            assertThat(fixture.call(claim().replace("POST /claim ", "POST HTTP://other.internal/claim?a=/b "))
                            .text())
                    .isEqualTo("POST /claim?a=/b HTTP/1.1other.internal");
        }
    }

    @Test
    void forwardedResponseIsCountedAtItsEnd() throws Exception {
        CountDownLatch maySendRest = new CountDownLatch(1);
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    peer.write(head(100_000));
                    peer.write(randomBytes(1));
                    maySendRest.await();
                    peer.write(randomBytes(99_999));
                    peer.awaitEnd();
                });
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            client.write(claim());
            client.readHead();
            String metricsDuringResponse = metricsText(fixture);
            maySendRest.countDown();
            client.readExactly(100_000);
            while (!metricsText(fixture).contains("proxy.completed.claim:1|c")) {
                Thread.sleep(5);
            }
            assertThat(metricsDuringResponse).contains("proxy.pending:1|g", "proxy.completed.claim:0|c");
            assertThat(metricsText(fixture)).contains("proxy.pending:0|g");
        }
    }

    private static String metricsText(ProxyFixture fixture) {
        return fixture.proxy.metrics().text();
    }
}
