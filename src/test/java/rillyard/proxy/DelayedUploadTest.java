package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an upload that runs a second time past its idempotency window: one that was received to its end before
 * it was dispatched, as the event loop was behind, counted as still being received, so that its window never began.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class DelayedUploadTest {
    private static final int WINDOW_MILLIS = 300;
    private static final int TIMEOUT_MILLIS = 1_200;

    /** Longer than input may be unread, so that the request waits for its dispatch; shorter than {@link #TIMEOUT_MILLIS}. */
    private static final int STALL_MILLIS = 150;

    private static final int CHUNK_BYTES = 1_000;

    private final AtomicInteger runs = new AtomicInteger();

    private static void shortenWindow(ObjectNode config) {
        for (var requestClass : config.path("settings").path("classes")) {
            if (requestClass.path("name").asText().equals("log")) {
                ((ObjectNode) requestClass).put("repeatWindow", WINDOW_MILLIS);
            }
        }
    }

    /** Starts a host that resets the connection of the first run, at whichever host that is, and answers later ones. */
    private ScriptedServer host(int resetAfterMillis) throws Exception {
        return new ScriptedServer(peer -> {
            while (peer.read() != null) {
                if (runs.getAndIncrement() == 0) {
                    Thread.sleep(resetAfterMillis); // time of the execution
                    peer.reset();
                    return;
                }
                peer.write(ScriptedServer.ok("repeated"));
            }
        });
    }

    private static String upload(int bytes, boolean isChunked) {
        String head = ProxyFixture.head("POST", "log", TIMEOUT_MILLIS, "Idempotency-Key: key\r\n");
        if (!isChunked) {
            return head + "Content-Length: " + bytes + "\r\n\r\n" + "x".repeat(bytes);
        }
        String chunk = Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n";
        return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk.repeat(bytes / CHUNK_BYTES) + "0\r\n\r\n";
    }

    /** Sends an upload of which all arrives while the loop is blocked, and returns the response. */
    private TestPeer.Message callDuringStall(int bytes, boolean isChunked, int resetAfterMillis) throws Exception {
        try (ScriptedServer hostA = host(resetAfterMillis);
                ScriptedServer hostB = host(resetAfterMillis);
                ProxyFixture fixture = new ProxyFixture(
                        DelayedUploadTest::shortenWindow,
                        ProxyFixture.endpoint("a", hostA.port()),
                        ProxyFixture.endpoint("b", hostB.port()));
                TestPeer client = fixture.client()) {
            client.write("GET /_health HTTP/1.1\r\nHost: proxy\r\n\r\n");
            client.read(); // accepted before the stall
            CountDownLatch unblock = fixture.blockLoop();
            client.write(upload(bytes, isChunked));
            Thread.sleep(STALL_MILLIS); // duration of the stall
            unblock.countDown();
            return client.read();
        }
    }

    @ParameterizedTest
    @CsvSource({"66000,false", "66000,true", "90000,false", "90000,true", "400000,false", "400000,true"})
    void uploadReceivedBeforeDispatchIsNotRepeatedPastWindow(int bytes, boolean isChunked) throws Exception {
        TestPeer.Message response = callDuringStall(bytes, isChunked, 2 * WINDOW_MILLIS);
        assertThat(response.status()).isEqualTo(502);
        assertThat(runs).hasValue(1);
    }

    /** Within the window the request is repeated, as a request is that was received after its dispatch. */
    @ParameterizedTest
    @CsvSource({"66000,false", "90000,true", "400000,false"})
    void uploadReceivedBeforeDispatchIsRepeatedWithinWindow(int bytes, boolean isChunked) throws Exception {
        TestPeer.Message response = callDuringStall(bytes, isChunked, WINDOW_MILLIS / 6);
        assertThat(response.text()).isEqualTo("repeated");
        assertThat(runs).hasValue(2);
    }
}
