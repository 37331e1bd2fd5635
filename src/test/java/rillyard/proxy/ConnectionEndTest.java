package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import java.io.IOException;
import java.net.SocketException;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rillyard.proxy.eventloop.FaultInjectingChannels;

/**
 * Guards against requests that are sent, retried or left open after their client, their idempotency window or their
 * connection has ended, and against responses that are lost or seem complete then. Each test ends a connection or a
 * request while something is in flight; see docs/design/endings.md.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ConnectionEndTest {
    private static final long AWAIT_NANOS = 20_000_000_000L;

    private static Consumer<ObjectNode> limits(Consumer<ObjectNode> change) {
        return config -> change.accept((ObjectNode) config.get("settings").get("limits"));
    }

    /** Waits until a condition, which is evaluated on the proxy's event loop, holds. */
    private static void await(ProxyFixture fixture, Callable<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + AWAIT_NANOS;
        while (!fixture.proxy.loop().submit(condition).get()) {
            assertThat(System.nanoTime()).as("time limit for the condition").isLessThan(deadlineNanos);
            Thread.sleep(1);
        }
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Creates a host that reads a request, never responds, and counts {@code ended} down when its connection ends. */
    private static ScriptedServer unresponsiveHost(CountDownLatch ended) throws IOException {
        return new ScriptedServer(peer -> {
            peer.read();
            peer.awaitEnd();
            ended.countDown();
        });
    }

    /** Creates a host that responds with the body of the request. */
    private static ScriptedServer echoHost() throws IOException {
        return ScriptedServer.host(message -> ScriptedServer.ok(message.text()));
    }

    /** Creates a host that responds with {@code x}. */
    private static ScriptedServer servingHost() throws IOException {
        return ScriptedServer.host(message -> ScriptedServer.ok("x"));
    }

    private static void awaitRequests(ProxyFixture fixture, int count) throws Exception {
        await(fixture, () -> fixture.proxy.openRequests() == count);
    }

    /** Ends the watch and waits for the next one, before which all announced lists have been applied. */
    private static void awaitListsApplied(ProxyFixture fixture) throws Exception {
        fixture.discoveryLines.add("");
        String request;
        do {
            request = fixture.watchRequests.poll(20, TimeUnit.SECONDS);
        } while (!request.contains("since=2 "));
    }

    @Test
    void retryWithPendingConnectAtEndOfIdempotencyWindowIsAbandoned() throws Exception {
        retryAtLateConnection((fixture, lateServer, client) -> {
            assertThat(client.read().status()).isEqualTo(502); // at the deadline of 15 s it would be 504
            awaitRequests(fixture, 0);
        });
    }

    @Test
    void connectCompletedPastIdempotencyWindowGetsNoRetry() throws Exception {
        retryAtLateConnection((fixture, lateServer, client) -> {
            CountDownLatch unblock = fixture.blockLoop();
            // The connect completes 1 s after its start: past the idempotency window of 750 ms.
            lateServer.freeBacklog();
            try (TestPeer host = lateServer.accept()) {
                unblock.countDown();
                assertThat(host.read()).isNull();
            }
            assertThat(client.read().status()).isEqualTo(502);
        });
    }

    private interface LateRetry {
        void check(ProxyFixture fixture, LateConnectServer lateServer, TestPeer client) throws Exception;
    }

    /** Runs a check when a request with an idempotency key has failed and the connect for its retry is pending. */
    private static void retryAtLateConnection(LateRetry check) throws Exception {
        try (LateConnectServer lateServer = new LateConnectServer()) {
            ProxyFixture[] fixture = new ProxyFixture[1];
            ScriptedServer first = ScriptedServer.host(message -> {
                fixture[0].announce(2, false, ProxyFixture.endpoint("b", lateServer.port()));
                awaitListsApplied(fixture[0]); // now there is a host for the retry
                return ScriptedServer.status(500, "");
            });
            try (first;
                    ProxyFixture startedFixture = new ProxyFixture(
                            limits(limits -> limits.put("connectTimeout", 15_000)),
                            ProxyFixture.endpoint("a", first.port()));
                    TestPeer client = startedFixture.client()) {
                fixture[0] = startedFixture;
                client.write(
                        ProxyFixture.post("log", 15_000, "Idempotency-Key: k\r\n", "x")); // idempotency window: 750 ms
                first.nextRequest();
                await(startedFixture, () -> startedFixture.proxy.hostConnections() == 2);
                check.check(startedFixture, lateServer, client);
            }
        }
    }

    /** Guards a request whose client has left, also one with a long body, against an attempt that begins later. */
    @ParameterizedTest
    @ValueSource(ints = {1, 120_000, 900_000})
    void clientDisconnectDuringConnectStartsNoAttempt(int bodyBytes) throws Exception {
        try (LateConnectServer lateServer = new LateConnectServer();
                ProxyFixture fixture =
                        new ProxyFixture( // only the disconnect can end the attempt, and it may not be cancelled
                                limits(limits ->
                                        limits.put("connectTimeout", 600_000).put("cancel", false)),
                                ProxyFixture.endpoint("a", lateServer.port()))) {
            long disconnectedAtNanos;
            try (TestPeer client = fixture.client()) {
                client.write(ProxyFixture.post("claim", 600_000, "", "x".repeat(bodyBytes)));
                awaitRequests(fixture, 1);
                disconnectedAtNanos = System.nanoTime();
            }
            awaitRequests(fixture, 0);
            assertThat((System.nanoTime() - disconnectedAtNanos) / 1_000_000)
                    .as("ms after which an attempt would have begun too late")
                    .isLessThan(100);
        }
    }

    @Test
    void clientDisconnectBehindPipelinedRequestsIsNoticed() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        try (ScriptedServer host = unresponsiveHost(ended);
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            try (TestPeer client = fixture.client()) {
                client.write(ProxyFixture.post("claim", 600_000, "", "first"));
                host.nextConnection();
                client.write(ProxyFixture.post("claim", 600_000, "", "second"));
                client.write(ProxyFixture.post("claim", 600_000, "", "third " + "x".repeat(10_000)));
            }
            ended.await(); // the first request is cancelled
            awaitRequests(fixture, 0);
            assertThat(host.hasMoreConnections()).isFalse(); // the others are never sent
        }
    }

    @Test
    void clientResetEndsAttempt() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        try (ScriptedServer host = unresponsiveHost(ended);
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            client.write(ProxyFixture.post("claim", 600_000, "", "x"));
            host.nextConnection();
            client.reset();
            ended.await();
            awaitRequests(fixture, 0);
        }
    }

    @Test
    void requestBehindLastResponseIsNotSent() throws Exception {
        try (ScriptedServer host = echoHost();
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            client.write(ProxyFixture.post("claim", 20_000, "Connection: close\r\n", "last")
                    + ProxyFixture.post("claim", 20_000, "", "behind"));
            assertThat(client.read().text()).isEqualTo("last");
            assertThat(client.read()).isNull();
            await(fixture, () -> fixture.proxy.clientConnections() == 0);
            assertThat(host.requests).extracting(TestPeer.Message::text).containsExactly("last");
        }
    }

    @Test
    void pipelinedRequestsInAnyFragmentationAreAnsweredInOrder() throws Exception {
        try (ScriptedServer host = echoHost();
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            int count = 200; // 60 kB, more than the proxy buffers
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < count; i++) {
                all.append(ProxyFixture.post("claim", 20_000, "", "r" + i + "x".repeat(150)));
            }
            CountDownLatch unblock = fixture.blockLoop();
            Thread writer = new Thread(() -> {
                try {
                    for (int from = 0; from < all.length(); from += 777) {
                        client.write(all.substring(from, Math.min(all.length(), from + 777)));
                    }
                } catch (IOException e) {
                    // The reads below fail.
                }
            });
            writer.start();
            unblock.countDown();
            for (int i = 0; i < count; i++) {
                assertThat(client.read().text()).startsWith("r" + i + "x");
            }
            writer.join();
        }
    }

    @Test
    void requestCrossingIdleCloseIsNeitherSentNorReset() throws Exception {
        try (ScriptedServer host = servingHost();
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            client.write(ProxyFixture.post("claim", 800, "", "first"));
            assertThat(client.read().status()).isEqualTo(200);
            // The drain shuts down the connection's output; then the loop is blocked until the client has written.
            CountDownLatch unblock = fixture.blockLoop();
            fixture.proxy.drain();
            CountDownLatch resume = new CountDownLatch(1);
            fixture.proxy.loop().execute(() -> awaitUninterrupted(resume));
            unblock.countDown();
            assertThat(client.read()).as("end of the output").isNull();
            client.write(ProxyFixture.post("claim", 800, "", "late"));
            // Fails if the write before it was answered by a reset.
            client.write(ProxyFixture.post("claim", 800, "", "later"));
            resume.countDown();
            client.socket.shutdownOutput();
            fixture.proxy.awaitEnd();
            assertThat(host.requests).extracting(TestPeer.Message::text).containsExactly("first");
        }
    }

    @Test
    void idleConnectionClosedForCapacityKeepsItsResponse() throws Exception {
        try (ScriptedServer host = servingHost();
                ProxyFixture fixture = new ProxyFixture(
                        config -> ((ObjectNode) config.get("limits")).put("sockets", 64),
                        ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            client.write(ProxyFixture.post("claim", 20_000, "", "first"));
            host.nextRequest();
            await(fixture, () -> fixture.proxy.openRequests() == 0);
            // The client has not read the response when the proxy closes its connection for new ones.
            TestPeer[] others = new TestPeer[40];
            for (int i = 0; i < others.length; i++) {
                others[i] = fixture.client();
            }
            assertThat(client.read().text()).isEqualTo("x");
            assertThat(client.read()).isNull();
            for (TestPeer peer : others) {
                peer.close();
            }
        }
    }

    /** Guards a response of which a part is still in the proxy against the close of idle connections for new ones. */
    @Test
    void connectionWhoseResponseIsBeingWrittenIsNotClosedForNewOnes() throws Exception {
        FaultInjectingChannels channels = new FaultInjectingChannels();
        try (ScriptedServer host = servingHost();
                ProxyFixture fixture = new ProxyFixture(
                        channels,
                        config -> ((ObjectNode) config.get("limits")).put("sockets", 256),
                        ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            Channel accepted = channels.nextAccepted();
            channels.holdWritesToClients(true);
            client.write(ProxyFixture.post("claim", 20_000, "", "first"));
            host.nextRequest();
            await(fixture, () -> fixture.proxy.openRequests() == 0);
            TestPeer[] others = new TestPeer[80];
            for (int i = 0; i < others.length; i++) {
                others[i] = fixture.client();
                channels.nextAccepted();
            }
            channels.holdWritesToClients(false);
            accepted.flush();
            assertThat(client.read().text()).isEqualTo("x");
            for (TestPeer peer : others) {
                peer.close();
            }
        }
    }

    /**
     * Guards against a drain that waits for the deadline of an open request: SIGKILL comes 3.7 s after SIGTERM at the
     * latest, whatever the longest deadline is.
     */
    @ParameterizedTest
    @ValueSource(ints = {1_200, 600_000})
    void openRequestIsAnsweredBeforeDrainEnds(int longestDeadlineMillis) throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (ScriptedServer host = ScriptedServer.host(message -> {
                    never.await();
                    return "";
                });
                ProxyFixture fixture = new ProxyFixture(
                        config ->
                                ((ObjectNode) config.at("/settings/classes/1")).put("deadline", longestDeadlineMillis),
                        ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            // The timeout is far longer than a drain may take.
            client.write(ProxyFixture.post("claim", 600_000, "", "x"));
            host.nextRequest();
            fixture.proxy.drain();
            TestPeer.Message answer = client.read();
            assertThat(answer.status()).isEqualTo(502);
            assertThat(answer.header("Connection")).isEqualTo("close");
            fixture.proxy.awaitEnd();
            never.countDown();
        }
    }

    @Test
    void responseCutWithinHeaderLineIsNotServed() throws Exception {
        ScriptedServer host = new ScriptedServer(peer -> {
            peer.read();
            peer.write("HTTP/1.1 200 OK\r\nContent-Le");
        });
        try (host;
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            assertThat(fixture.call(ProxyFixture.post("claim", 20_000, "", "x")).status())
                    .isEqualTo(502);
        }
    }

    @Test
    void forwardedResponseWithoutLengthThatIsResetIsVisiblyIncomplete() throws Exception {
        CountDownLatch forwarded = new CountDownLatch(1);
        ScriptedServer host = new ScriptedServer(peer -> {
            peer.read();
            peer.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + "x".repeat(70_000));
            forwarded.await();
            peer.reset();
        });
        try (host;
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            client.write(ProxyFixture.post("claim", 20_000, "", "x"));
            assertThat(client.readHead()).contains("200");
            forwarded.countDown();
            boolean complete = false;
            try {
                String line;
                while ((line = client.readLine()) != null) {
                    complete |= line.equals("0"); // the last chunk
                }
            } catch (SocketException e) {
                // A reset also shows the client that the response is incomplete.
            }
            assertThat(complete).isFalse();
        }
    }
}
