package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rillyard.childprocess.LaunchCommand;
import rillyard.childprocess.ProxyProcess;

/**
 * Guards against header sections of hundreds of connections that use up the heap, after which the event loop has ended
 * and no client is answered any more. Runs the built jar with the platform's heap.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class HeaderMemoryIT {
    /** Number of clients; with the {@link ProxyFixture}'s 1,024 descriptors they hold a third of these. */
    private static final int CLIENTS = 320;

    /** Bytes of a header section, within the proxy's limit of 16 KiB. */
    private static final int SECTION_BYTES = 16_000;

    /** Time (ms) after which a request with a timeout of 800 ms counts as lost: 500 ms past it, and 50 ms. */
    private static final int LOST_AFTER_MILLIS = 1_350;

    /** Time (ms) within which a client that stopped is owed an error or the end of its connection. */
    private static final int MAX_WAIT_MILLIS = 3_000;

    private static final int FIRST_BYTE_TIMEOUT_MILLIS = 1;

    @TempDir
    Path folder;

    private final CountDownLatch release = new CountDownLatch(1);
    private final List<TestPeer> clients = new ArrayList<>();
    private ScriptedServer host;
    private ProxyProcess proxy;

    @BeforeEach
    void start() throws Exception {
        host = ScriptedServer.host(message -> {
            if (message.header("X-Wait") != null) {
                release.await();
            }
            return message.header("X-Long-Head") == null
                    ? ScriptedServer.ok("served")
                    : "HTTP/1.1 200 OK\r\n" + fields() + "X-Incomplete: "; // the rest never comes
        });
        Path config = folder.resolve("config.json");
        Files.move(ProxyFixture.writeConfig(1, json -> {}, ProxyFixture.endpoint("a", host.port())), config);
        proxy = ProxyProcess.launch(
                LaunchCommand.platform(Path.of("").toAbsolutePath()),
                config,
                ProxyProcess.ANY_PORT,
                folder.resolve("log"));
        proxy.await(ProxyProcess.State.READY);
    }

    @AfterEach
    void stop() throws Exception {
        release.countDown();
        for (TestPeer client : clients) {
            client.close();
        }
        proxy.close();
        host.close();
    }

    /** Returns header fields as short as fields are, so that they use the most memory for their bytes. */
    private static String fields() {
        return "a: b\r\n".repeat(SECTION_BYTES / "a: b\r\n".length());
    }

    private TestPeer connect() throws IOException {
        return TestPeer.connect(proxy.address().getPort());
    }

    private void sendFromAllClients(String bytes) throws Exception {
        for (int i = 0; i < CLIENTS; i++) {
            TestPeer client = connect();
            clients.add(client);
            try {
                client.write(bytes.replace("$ID", "i" + i));
            } catch (SocketException e) {
                // the proxy has ended this connection already
            }
        }
    }

    private static String headOf(String method, String fields) {
        return method + " /claim HTTP/1.1\r\nHost: a\r\nX-Request-ID: $ID\r\nX-Priority-Class: claim\r\n"
                + "X-Timeout-Ms: 800\r\n" + fields;
    }

    /** Sends requests on usual connections for a while; each must be answered in time, and the last ones served. */
    private void assertOthersAreAnswered() throws Exception {
        int status = 0;
        for (int i = 0; i < 30; i++) {
            status = statusInTime();
            Thread.sleep(50);
        }
        assertThat(status).as("the last request").isEqualTo(200);
    }

    /** Returns the status of the response to a usual request, or 0 if its connection ended unanswered. */
    private int statusInTime() throws IOException {
        try (TestPeer client = connect()) {
            client.socket.setSoTimeout(LOST_AFTER_MILLIS);
            client.write(ProxyFixture.post("claim", 800, "", "x"));
            TestPeer.Message response = client.read();
            return response == null ? 0 : response.status();
        } catch (SocketTimeoutException e) {
            throw new AssertionError("a request was not answered in time; log: " + log(), e);
        }
    }

    private String log() throws IOException {
        return Files.readString(folder.resolve("log"));
    }

    private void assertNoMemoryWasMissing() throws IOException {
        assertThat(proxy.process().isAlive()).isTrue();
        assertThat(log()).doesNotContain("OutOfMemoryError", "NoClassDefFoundError");
    }

    private void assertAllClientsWereEndedOrAnswered() throws IOException {
        for (TestPeer client : clients) {
            client.socket.setSoTimeout(FIRST_BYTE_TIMEOUT_MILLIS);
            try {
                client.socket.getInputStream().read();
            } catch (SocketTimeoutException e) {
                throw new AssertionError("client " + clients.indexOf(client) + " was not ended; log: " + log(), e);
            } catch (SocketException e) {
                // the connection was reset
            }
        }
    }

    @Test
    void clientsThatStopWithinHeadLeaveMemoryToOthers() throws Exception {
        sendFromAllClients(headOf("POST", fields()));
        long sentAtNanos = System.nanoTime();
        assertOthersAreAnswered();
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAtNanos);
        Thread.sleep(Math.max(0, MAX_WAIT_MILLIS - elapsedMillis));
        assertAllClientsWereEndedOrAnswered();
        assertNoMemoryWasMissing();
    }

    @Test
    void clientsThatStopWithinTrailersLeaveMemoryToOthers() throws Exception {
        sendFromAllClients(headOf("POST", "Transfer-Encoding: chunked\r\n\r\n0\r\n" + fields()));
        assertOthersAreAnswered();
        assertNoMemoryWasMissing();
    }

    @Test
    void completeRequestsWithManyFieldsLeaveMemoryToOthers() throws Exception {
        sendFromAllClients(headOf("POST", "Content-Length: 0\r\nX-Wait: 1\r\n" + fields() + "\r\n"));
        assertOthersAreAnswered();
        assertNoMemoryWasMissing();
    }

    @Test
    void pipelinedRequestsLeaveMemoryToOthers() throws Exception {
        String pipelined = "GET / HTTP/1.1\r\n\r\n".repeat(SECTION_BYTES / "GET / HTTP/1.1\r\n\r\n".length());
        sendFromAllClients(headOf("POST", "Content-Length: 0\r\nX-Wait: 1\r\n\r\n" + pipelined));
        assertOthersAreAnswered();
        assertNoMemoryWasMissing();
    }

    @Test
    void responsesThatStopWithinHeadLeaveMemoryToOthers() throws Exception {
        sendFromAllClients(headOf("POST", "Content-Length: 0\r\nX-Long-Head: 1\r\n\r\n"));
        assertOthersAreAnswered();
        assertNoMemoryWasMissing();
    }
}
