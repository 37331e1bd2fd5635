package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against pipelined bodies in small chunks that use up the heap and end the process: each chunk that was read
 * together with the request before was held as an object, which no budget bounds. Runs the built jar with the platform's
 * heap.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class PipelinedBodyMemoryIT {
    /** Number of clients; they hold a third of the descriptors. */
    private static final int CLIENTS = 320;

    /** Length of a first body, after which the proxy reads 16 KiB at a time from the connection. */
    private static final int LONG_BODY_BYTES = 48_000;

    /** Length of the pipelined part, which the proxy reads at once. */
    private static final int PIPELINED_BYTES = 15_000;

    @TempDir
    Path folder;

    private static String chunkedRequest(int chunkBytes) {
        String chunk = Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n";
        return ProxyFixture.head("POST", "claim", 20_000, "") + "Transfer-Encoding: chunked\r\n\r\n"
                + chunk.repeat(PIPELINED_BYTES / chunk.length()) + "0\r\n\r\n";
    }

    /** Reads a response; many requests at one host may be shed. */
    private static void assertAnswered(TestPeer client) throws Exception {
        TestPeer.Message response = client.read();
        assertThat(response == null ? 0 : response.status()).isIn(200, 503);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 100})
    void pipelinedChunksLeaveMemoryToOthers(int chunkBytes) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        List<TestPeer> clients = new ArrayList<>();
        try (ScriptedServer host = ScriptedServer.host(request -> {
                    if (request.header("X-Wait") != null) {
                        release.await();
                    }
                    return ScriptedServer.ok("served");
                });
                PlatformProxy proxy = PlatformProxy.start(
                        folder, PlatformProxy.limits(192, 1_024), ProxyFixture.endpoint("a", host.port()))) {
            for (int i = 0; i < CLIENTS; i++) {
                TestPeer client = proxy.client();
                clients.add(client);
                client.write(ProxyFixture.post("claim", 20_000, "", "x".repeat(LONG_BODY_BYTES)));
                assertAnswered(client);
                client.write(ProxyFixture.post("claim", 20_000, "X-Wait: 1\r\n", "x") + chunkedRequest(chunkBytes));
            }
            Thread.sleep(1_000); // the proxy reads all of it
            assertThat(proxy.process().process().isAlive()).isTrue();
            release.countDown();
            for (TestPeer client : clients) {
                assertAnswered(client);
                assertAnswered(client);
            }
        } finally {
            for (TestPeer client : clients) {
                client.close();
            }
        }
    }
}
