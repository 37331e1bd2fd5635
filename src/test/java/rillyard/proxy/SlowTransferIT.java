package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against final responses that come late because a host reads a long request slowly, and against responses that
 * are cut off while their host writes them slowly. Runs the built jar with little memory.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class SlowTransferIT {
    /** Time (ms) past its timeout from which on a response counts as lost, with the tolerance of the clocks. */
    private static final long LOST_AFTER_MILLIS = 550;

    private static final int STEPS_PER_SECOND = 50;

    @TempDir
    Path folder;

    private final ExecutorService executor = Executors.newCachedThreadPool();

    @AfterEach
    void stop() {
        executor.shutdownNow();
    }

    private static void pause() throws InterruptedException {
        Thread.sleep(1_000 / STEPS_PER_SECOND);
    }

    /** Creates a host that reads requests at a steady rate and never responds. */
    private static ScriptedServer slowReader(int bytesPerSecond) throws IOException {
        return new ScriptedServer(peer -> {
            InputStream in = peer.socket.getInputStream();
            while (in.readNBytes(bytesPerSecond / STEPS_PER_SECOND).length > 0) {
                pause();
            }
        });
    }

    /**
     * Sends a request with a long body; returns the time (ms) from its last byte to the first of the response, 0 if the
     * response precedes it.
     */
    private long upload(PlatformProxy proxy, int bytes, int timeoutMillis, boolean chunked) throws Exception {
        try (TestPeer client = proxy.client()) {
            String framing = chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Content-Length: " + bytes + "\r\n\r\n";
            client.write(ProxyFixture.head("POST", "claim", timeoutMillis, "") + framing);
            OutputStream out = client.socket.getOutputStream();
            byte[] part = new byte[10_000];
            byte[] chunk = ("2710\r\n" + new String(part, StandardCharsets.ISO_8859_1) + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            Future<Long> answeredAtNanos = executor.submit(() -> {
                assertThat(client.socket.getInputStream().read()).as("response").isNotNegative();
                return System.nanoTime();
            });
            try {
                for (int sent = 0; sent < bytes; sent += part.length) {
                    out.write(chunked ? chunk : Arrays.copyOf(part, Math.min(part.length, bytes - sent)));
                }
                out.write((chunked ? "0\r\n\r\n" : "").getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                // the response has come, and the connection is closed, before the last byte
            }
            long sentAtNanos = System.nanoTime();
            return Math.max(0, answeredAtNanos.get() - sentAtNanos) / 1_000_000;
        }
    }

    @ParameterizedTest
    @CsvSource({
        "691654, 73346, 782, false, 1",
        "691654, 73346, 782, true, 1",
        "20000000, 5000000, 800, false, 1",
        "20000000, 5000000, 800, true, 1",
        "4000000, 200000, 800, false, 1",
        "691654, 73346, 782, false, 24",
        "4000000, 1000000, 800, true, 12"
    })
    void requestThatHostReadsSlowlyIsAnsweredInTime(
            int bytes, int bytesPerSecond, int timeoutMillis, boolean chunked, int clients) throws Exception {
        try (ScriptedServer host = slowReader(bytesPerSecond);
                PlatformProxy proxy = PlatformProxy.start(
                        folder, PlatformProxy.limits(32, 1_024), ProxyFixture.endpoint("a", host.port()))) {
            List<Future<Long>> elapsed = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                elapsed.add(executor.submit(() -> upload(proxy, bytes, timeoutMillis, chunked)));
            }
            for (Future<Long> millis : elapsed) {
                assertThat(millis.get()).as("ms").isLessThan(timeoutMillis + LOST_AFTER_MILLIS);
            }
        }
    }

    @Test
    void pipelinedRequestIsAnsweredInTimeAfterLongOne() throws Exception {
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    while (peer.read() != null) {
                        Thread.sleep(700);
                        peer.write(ScriptedServer.ok("x"));
                    }
                });
                PlatformProxy proxy = PlatformProxy.start(
                        folder, PlatformProxy.limits(32, 1_024), ProxyFixture.endpoint("a", host.port()));
                TestPeer client = proxy.client()) {
            client.write(ProxyFixture.post("claim", 800, "", "first") + ProxyFixture.post("claim", 800, "", "second"));
            long sentAtNanos = System.nanoTime();
            assertThat(client.read().status()).isEqualTo(200);
            client.read();
            assertThat((System.nanoTime() - sentAtNanos) / 1_000_000).as("ms").isLessThan(800 + LOST_AFTER_MILLIS);
        }
    }

    /** The host begins its response after 0.3 s and writes it in parts, between which it pauses. */
    @ParameterizedTest
    @CsvSource({
        "chunked, 100000, 20000, 400", // ends 2.3 s after the request, which has 0.8 s
        "chunked, 100000, 10000, 700",
        "chunked, 300000, 3000, 50",
        "close, 100000, 20000, 700",
        "length, 100000, 10000, 700",
        "length, 60000, 15000, 120",
        "length, 60000, 30000, 230"
    })
    void responseThatHostWritesSlowlyIsComplete(String framing, int bytes, int partBytes, int pauseMillis)
            throws Exception {
        String part = "x".repeat(partBytes);
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    Thread.sleep(300);
                    String header =
                            switch (framing) {
                                case "chunked" -> "Transfer-Encoding: chunked";
                                case "close" -> "Connection: close";
                                default -> "Content-Length: " + bytes;
                            };
                    peer.write("HTTP/1.1 200 OK\r\n" + header + "\r\n\r\n");
                    for (int sent = 0; sent < bytes; sent += partBytes) {
                        peer.write(
                                framing.equals("chunked")
                                        ? Integer.toHexString(partBytes) + "\r\n" + part + "\r\n"
                                        : part);
                        Thread.sleep(pauseMillis);
                    }
                    if (framing.equals("chunked")) {
                        peer.write("0\r\n\r\n");
                    }
                });
                PlatformProxy proxy = PlatformProxy.start(
                        folder, PlatformProxy.limits(32, 1_024), ProxyFixture.endpoint("a", host.port()));
                TestPeer client = proxy.client()) {
            client.write(ProxyFixture.post("claim", 800, "", "x"));
            TestPeer.Message response = client.read();
            assertThat(response.status()).isEqualTo(200);
            assertThat(response.body()).hasSize(bytes);
        }
    }
}
