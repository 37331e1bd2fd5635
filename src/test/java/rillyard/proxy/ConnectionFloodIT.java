package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against one connection that takes the event loop, or memory without end, from all others by requests that cost
 * it nothing. Runs the built jar.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ConnectionFloodIT {
    /** What the flooding client sends at full speed. */
    private enum Flood {
        HEALTH_CHECKS,
        OPEN_CLASSES,
        NEW_TENANTS_AND_KEYS,
        UNKNOWN_CLASSES,
        MALFORMED,
        SMALL_CHUNKS
    }

    private static final long FLOOD_MILLIS = 4_000;
    private static final int MEMORY_MB = 128;

    /** Time (ms) within which usual requests are answered; hosts answer them at once. */
    private static final long MAX_LATENCY_MILLIS = 200;

    /** Bytes that are written to a connection at a time. */
    private static final int PART_BYTES = 256 * 1024;

    @TempDir
    Path folder;

    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final CountDownLatch release = new CountDownLatch(1);
    private ScriptedServer host;
    private PlatformProxy proxy;

    @BeforeEach
    void start() throws Exception {
        host = ScriptedServer.host(message -> {
            if (message.header("X-Wait") != null) {
                release.await();
            }
            return ScriptedServer.ok("served");
        });
        proxy = PlatformProxy.start(
                folder, PlatformProxy.limits(MEMORY_MB, 1_024), ProxyFixture.endpoint("a", host.port()));
        usualLatencies(200); // compiles what usual requests use
    }

    @AfterEach
    void stop() throws Exception {
        release.countDown();
        executor.shutdownNow();
        proxy.close();
        host.close();
    }

    /** Sends usual requests on one connection; returns how long each took (ms), sorted. */
    private List<Long> usualLatencies(long durationMillis) throws Exception {
        List<Long> latencies = new ArrayList<>();
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis);
        try (TestPeer client = proxy.client()) {
            while (System.nanoTime() < endNanos) {
                long sentAtNanos = System.nanoTime();
                client.write(ProxyFixture.post("claim", 20_000, "", "x"));
                assertThat(client.read().status()).isEqualTo(200);
                latencies.add((System.nanoTime() - sentAtNanos) / 1_000_000);
                Thread.sleep(10);
            }
        }
        Collections.sort(latencies);
        return latencies;
    }

    /** Returns the request with this number, or the piece of one. */
    private static String input(Flood flood, int number) {
        return switch (flood) {
            case HEALTH_CHECKS -> "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";
            case OPEN_CLASSES -> ProxyFixture.post("claim", 0, "", "");
            case NEW_TENANTS_AND_KEYS -> {
                String names = "X-Tenant-Id: t%1$d\r\nIdempotency-Key: k%1$d\r\nX-Route-Key: r%1$d\r\n";
                yield ProxyFixture.post("log", 1, names.formatted(number), "x");
            }
            case UNKNOWN_CLASSES -> ProxyFixture.post("class" + number, 800, "", "");
            case MALFORMED -> "BAD" + number + "\r\n\r\n";
            case SMALL_CHUNKS -> "1\r\nx\r\n";
        };
    }

    private static byte[] requests(Flood flood, int from) {
        StringBuilder requests = new StringBuilder();
        for (int i = from; requests.length() < PART_BYTES; i++) {
            requests.append(input(flood, i));
        }
        return requests.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Writes requests until interrupted; opens a new connection whenever the proxy has ended the last. */
    private void flood(Flood flood, boolean readsResponses) throws Exception {
        int from = 0;
        while (!Thread.currentThread().isInterrupted()) {
            try (TestPeer client = proxy.client()) {
                if (flood == Flood.SMALL_CHUNKS) {
                    client.write(ProxyFixture.head("POST", "claim", 20_000, "Transfer-Encoding: chunked\r\n") + "\r\n");
                }
                if (readsResponses) {
                    executor.submit(() -> {
                        client.awaitEnd();
                        return null;
                    });
                }
                while (true) {
                    client.write(requests(flood, from));
                    from += PART_BYTES;
                }
            } catch (SocketException e) {
                // the proxy has ended the connection
            }
        }
    }

    private void assertOthersAreServed() throws Exception {
        List<Long> latencies = usualLatencies(FLOOD_MILLIS);
        System.out.println("usual requests beside the flood: count=" + latencies.size() + " max_ms="
                + latencies.get(latencies.size() - 1) + " peak_mb=" + proxy.peakResidentMb());
        assertThat(latencies.get(latencies.size() - 1)).as("longest, ms").isLessThan(MAX_LATENCY_MILLIS);
        assertThat(proxy.peakResidentMb()).as("resident MiB").isLessThanOrEqualTo(MEMORY_MB);
    }

    @ParameterizedTest
    @EnumSource(Flood.class)
    void floodOnOneConnectionLeavesOthersInTime(Flood flood) throws Exception {
        executor.submit(() -> {
            flood(flood, true);
            return null;
        });
        assertOthersAreServed();
    }

    @ParameterizedTest
    @EnumSource(names = {"HEALTH_CHECKS", "OPEN_CLASSES"})
    void floodWhoseResponsesAreNotReadLeavesOthersInTimeAndMemoryBounded(Flood flood) throws Exception {
        executor.submit(() -> {
            flood(flood, false);
            return null;
        });
        assertOthersAreServed();
    }

    /** The proxy holds a megabyte of small requests behind one that waits, and handles them when it is answered. */
    @Test
    void pipelinedHealthChecksBehindWaitingRequestLeaveOthersInTime() throws Exception {
        String requests = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n".repeat(27_000);
        for (int i = 0; i < 4; i++) {
            TestPeer client = proxy.client();
            client.write(ProxyFixture.post("claim", 20_000, "X-Wait: 1\r\n", "x"));
            client.write(requests);
            executor.submit(() -> {
                client.awaitEnd();
                return null;
            });
        }
        executor.submit(() -> {
            Thread.sleep(500);
            release.countDown();
            return null;
        });
        assertOthersAreServed();
    }

    /** All pipelined health checks are parsed in one read, behind a request that is answered later. */
    @Test
    void pipelinedHealthChecksOfOneReadAreAllAnswered() throws Exception {
        int count = 400;
        try (TestPeer client = proxy.client()) {
            client.write(ProxyFixture.post("claim", 20_000, "X-Wait: 1\r\n", "x")
                    + "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n".repeat(count));
            release.countDown();
            for (int i = 0; i <= count; i++) {
                assertThat(client.read().status()).isEqualTo(200);
            }
        } catch (IOException e) {
            throw new AssertionError(proxy.logEnd(), e);
        }
    }
}
