package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import rillyard.childprocess.ProxyProcess;

/** Guards against attempts that begin after their client has left, with much of its input still unread. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ClientLeaveIT {
    private static final int HOSTS = 4;

    /** Time (ms) after the close of its client past which no attempt of a request may begin. */
    private static final long MAX_LATE_ATTEMPT_MILLIS = 100;

    /** Time (ms) for which clients wait for nothing before they leave. */
    private static final long STAY_MILLIS = 90;

    /** Time (ms) that a host takes to reject a request. */
    private static final long REJECT_MILLIS = 500;

    /** Time (ms) past which a proxy knows nothing of an ended request any more, if it forgets it. */
    private static final long FORGET_MILLIS = 2_600;

    private static final String NOT_PROCESSED = ScriptedServer.status(503, "X-Not-Processed: 1\r\n");

    @TempDir
    Path folder;

    private final Map<String, Long> closedAtNanos = new HashMap<>();
    private final List<String> lateAttempts = new ArrayList<>();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final List<ScriptedServer> hosts = new ArrayList<>();

    @AfterEach
    void stop() throws Exception {
        executor.shutdownNow();
        for (ScriptedServer host : hosts) {
            host.close();
        }
    }

    /** Records an attempt that has reached a host. */
    private synchronized void onAttempt(String head) {
        String id = new TestPeer.Message(head, new byte[0]).header("X-Request-ID");
        Long closed = closedAtNanos.get(id);
        long lateMillis = closed == null ? 0 : (System.nanoTime() - closed) / 1_000_000;
        if (lateMillis > MAX_LATE_ATTEMPT_MILLIS) {
            lateAttempts.add(id + " " + lateMillis + " ms after the close");
        }
    }

    private synchronized void onClosed(List<String> ids) {
        long nowNanos = System.nanoTime();
        ids.forEach(id -> closedAtNanos.put(id, nowNanos));
    }

    private void startHosts(ScriptedServer.Script script) throws IOException {
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new ScriptedServer(script));
        }
    }

    private String[] endpoints() {
        String[] endpoints = new String[hosts.size()];
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = ProxyFixture.endpoint("s" + i, hosts.get(i).port());
        }
        return endpoints;
    }

    private static Consumer<ObjectNode> connectTimeout(int millis) {
        return json -> ((ObjectNode) json.get("settings").get("limits")).put("connectTimeout", millis);
    }

    private static String idOf(String request) {
        return new TestPeer.Message(request, new byte[0]).header("X-Request-ID");
    }

    /** Sends the requests at once, leaves after {@link #STAY_MILLIS}, and records when. */
    private void sendAndLeave(PlatformProxy proxy, List<String> requests) throws Exception {
        try (TestPeer client = proxy.client()) {
            executor.submit(() -> {
                for (String request : requests) {
                    client.write(request);
                }
                return null;
            });
            Thread.sleep(STAY_MILLIS);
            onClosed(requests.stream().map(ClientLeaveIT::idOf).toList());
        }
    }

    private void sendAndLeave(PlatformProxy proxy, int clients, List<String> requests) throws Exception {
        List<java.util.concurrent.Future<?>> leaving = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            List<String> own = requests.stream()
                    .map(request -> request.replaceFirst("X-Request-ID: \\w+", "X-Request-ID: " + System.nanoTime()))
                    .toList();
            leaving.add(executor.submit(() -> {
                sendAndLeave(proxy, own);
                return null;
            }));
        }
        for (java.util.concurrent.Future<?> left : leaving) {
            left.get();
        }
        Thread.sleep(2_000); // all attempts that follow have begun
    }

    private static List<String> requests(int count, int bytesEach) {
        List<String> requests = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            requests.add(ProxyFixture.post("claim", 1_200, "", "x".repeat(bytesEach)));
        }
        return requests;
    }

    private void assertNoLateAttempt() {
        synchronized (this) {
            assertThat(lateAttempts).isEmpty();
        }
    }

    private void serveRejecting(TestPeer peer) throws Exception {
        TestPeer.Message request;
        while ((request = peer.read()) != null) {
            onAttempt(request.head());
            Thread.sleep(REJECT_MILLIS);
            peer.write(NOT_PROCESSED);
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 12, 100000", "1, 60, 100000", "20, 10, 100000", "12, 4000, 100", "1, 20000, 100"})
    void requestWithMuchPipelinedInputIsNotForwardedAfterClientLeft(int clients, int requests, int bytesEach)
            throws Exception {
        startHosts(this::serveRejecting);
        try (PlatformProxy proxy = PlatformProxy.start(folder, PlatformProxy.limits(96, 1_024), endpoints())) {
            sendAndLeave(proxy, clients, requests(requests, bytesEach));
            assertNoLateAttempt();
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 2000000", "12, 2000000", "1, 16000000"})
    void longRequestThatHostRejectsIsNotForwardedAfterClientLeft(int clients, int bytes) throws Exception {
        startHosts(peer -> {
            onAttempt(peer.readHead());
            Thread.sleep(REJECT_MILLIS);
            peer.write(NOT_PROCESSED);
            Thread.sleep(REJECT_MILLIS);
        });
        try (PlatformProxy proxy = PlatformProxy.start(folder, PlatformProxy.limits(96, 1_024), endpoints())) {
            sendAndLeave(proxy, clients, requests(1, bytes));
            assertNoLateAttempt();
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {900_000, 2_000_000, 16_000_000})
    void longRequestThatWaitsForHostIsNotForwardedAfterClientLeft(int bytes) throws Exception {
        try (LateConnectServer lateServer = new LateConnectServer();
                PlatformProxy proxy = PlatformProxy.start(
                        folder,
                        PlatformProxy.limits(96, 1_024).andThen(connectTimeout(5_000)),
                        ProxyFixture.endpoint("a", lateServer.port()))) {
            executor.submit(() -> {
                Thread.sleep(2 * STAY_MILLIS);
                lateServer.freeBacklog(); // the connect completes 1 s after its start
                TestPeer host = lateServer.accept();
                onAttempt(host.readHead());
                host.awaitEnd();
                return null;
            });
            sendAndLeave(proxy, 1, requests(1, bytes));
            assertNoLateAttempt();
        }
    }

    @Test
    void idOfClientThatLeftDoesNotRunAgain() throws Exception {
        AtomicInteger executions = new AtomicInteger();
        CountDownLatch received = new CountDownLatch(1);
        startHosts(peer -> {
            while (peer.read() != null) {
                executions.incrementAndGet();
                received.countDown();
                Thread.sleep(300);
                peer.write(ScriptedServer.ok("done"));
            }
        });
        String request = ProxyFixture.post("claim", 1_200, "", "x");
        try (PlatformProxy proxy = PlatformProxy.start(folder, PlatformProxy.limits(96, 1_024), endpoints())) {
            try (TestPeer client = proxy.client()) {
                client.write(request);
                received.await();
            }
            Thread.sleep(FORGET_MILLIS);
            try (TestPeer client = proxy.client()) {
                client.write(request);
                assertThat(client.read().status()).isEqualTo(409);
            }
            assertThat(executions).hasValue(1);
        }
    }

    @Test
    void idOfClientThatLeftDoesNotRunAgainAtOtherProcessOfHotRestart() throws Exception {
        AtomicInteger executions = new AtomicInteger();
        startHosts(peer -> {
            while (peer.read() != null) {
                executions.incrementAndGet();
                Thread.sleep(1_000);
                peer.write(ScriptedServer.ok("done"));
            }
        });
        InetSocketAddress listen = ProxyProcess.freeAddress();
        String request = ProxyFixture.post("claim", 1_200, "", "x");
        try (PlatformProxy predecessor =
                PlatformProxy.startBeside(folder, "old", listen, PlatformProxy.limits(192, 1_024), endpoints())) {
            try (PlatformProxy successor =
                    PlatformProxy.startBeside(folder, "new", listen, PlatformProxy.limits(192, 1_024), endpoints())) {
                // The kernel spreads connections over both processes: of 20, both get some.
                for (int i = 0; i < 20; i++) {
                    try (TestPeer client = successor.client()) {
                        client.write(request);
                        Thread.sleep(50);
                    }
                }
                predecessor.process().process().terminate();
                assertThat(predecessor.process().process().await()).isZero();
                try (TestPeer client = successor.client()) {
                    client.write(request);
                    assertThat(client.read().status()).isEqualTo(409);
                }
                assertThat(executions).hasValue(1);
            }
        }
    }
}
