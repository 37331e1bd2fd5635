package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rillyard.childprocess.LaunchCommand;
import rillyard.childprocess.ProxyProcess;

/**
 * Guards against requests that are lost, and disabled hosts that get requests again, when a successor process replaces
 * its predecessor (a hot restart), and against a successor that fails and keeps its predecessor from serving. Runs the
 * built jar under load; discovery never responds.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class HotRestartIT {
    private static final int CLIENTS = 8;

    @TempDir
    Path folder;

    /** Clients with persistent connections, which reconnect after a response with {@code Connection: close}. */
    private static final class Load implements AutoCloseable {
        final AtomicInteger served = new AtomicInteger();
        /** Requests that got no response of a host, each with its time (ms since the start). */
        final Queue<String> failures = new ConcurrentLinkedQueue<>();

        private final long startNanos = System.nanoTime();
        private final AtomicBoolean stopped = new AtomicBoolean();

        Load(InetSocketAddress address) {
            for (int i = 0; i < CLIENTS; i++) {
                Thread thread = new Thread(() -> run(address));
                thread.setDaemon(true);
                thread.start();
            }
        }

        private void recordFailure(String description) {
            failures.add((System.nanoTime() - startNanos) / 1_000_000 + " ms: " + description);
        }

        private void run(InetSocketAddress address) {
            TestPeer peer = null;
            while (!stopped.get()) {
                try {
                    peer = peer == null ? TestPeer.connect(address.getPort()) : peer;
                    peer.write(ProxyFixture.post("claim", 1_500, "", "x"));
                    TestPeer.Message message = peer.read();
                    if (message == null || message.status() != 200) {
                        recordFailure(message == null ? "connection ended without a response" : message.startLine());
                    } else {
                        served.incrementAndGet();
                    }
                    if (message == null || "close".equals(message.header("Connection"))) {
                        peer.close();
                        peer = null;
                    }
                    Thread.sleep(2);
                } catch (IOException e) {
                    recordFailure((peer == null ? "connect failed: " : "connection failed: ") + e);
                    peer = null;
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        void awaitServed(int more) throws InterruptedException {
            int until = served.get() + more;
            while (served.get() < until) {
                Thread.sleep(5);
            }
        }

        @Override
        public void close() {
            stopped.set(true); // each client stops after its present request
        }
    }

    private ProxyProcess launch(
            ScriptedServer discovery, String name, InetSocketAddress listen, int adminPort, String... known)
            throws Exception {
        Path config = folder.resolve(name + ".json");
        Files.move(
                ProxyFixture.writeConfig(
                        discovery.port(), json -> json.put("operator", "127.0.0.1:" + adminPort), known),
                config);
        LaunchCommand built = LaunchCommand.platform(Path.of("").toAbsolutePath())
                .with("TMPDIR", folder.resolve("tmp").toString());
        return ProxyProcess.launch(built, config, listen, folder.resolve(name + ".log"));
    }

    private String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    private static int call(int adminPort, String methodAndTarget, String body) throws IOException {
        try (TestPeer peer = TestPeer.connect(adminPort)) {
            peer.write(
                    methodAndTarget + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            return peer.read().status();
        }
    }

    private static void awaitReady(int adminPort) throws InterruptedException {
        while (true) {
            try {
                if (call(adminPort, "GET /_ready", "") == 200) {
                    return;
                }
            } catch (IOException e) {
                // not listening yet
            }
            Thread.sleep(10);
        }
    }

    @Test
    void successorTakesOverUnderLoadWithDisabledHosts() throws Exception {
        Files.createDirectory(folder.resolve("tmp"));
        InetSocketAddress listen = ProxyProcess.freeAddress();
        int oldAdminPort = ProxyProcess.freeAddress().getPort();
        int newAdminPort = ProxyProcess.freeAddress().getPort();
        try (ScriptedServer silent = new ScriptedServer(TestPeer::awaitEnd);
                ScriptedServer hostA = ScriptedServer.host(message -> ScriptedServer.ok("a"));
                ScriptedServer hostB = ScriptedServer.host(message -> ScriptedServer.ok("b"));
                ProxyProcess predecessor = launch(
                        silent,
                        "old",
                        listen,
                        oldAdminPort,
                        ProxyFixture.endpoint("a", hostA.port()),
                        ProxyFixture.endpoint("b", hostB.port()))) {
            awaitReady(oldAdminPort);
            try (Load load = new Load(listen)) {
                load.awaitServed(200);
                assertThat(call(oldAdminPort, "POST /_hosts/detach", "a")).isEqualTo(200);
                try (ProxyProcess successor = launch(
                        silent,
                        "next",
                        listen,
                        newAdminPort,
                        ProxyFixture.endpoint("a", hostA.port()),
                        ProxyFixture.endpoint("b", hostB.port()))) {
                    awaitReady(newAdminPort);
                    load.awaitServed(200);
                    hostA.requests.clear();
                    predecessor.process().terminate();
                    assertThat(predecessor.process().await()).isZero();
                    assertThat(log("old")).contains("draining, successor=true", "drained");
                    load.awaitServed(400);
                    assertThat(load.failures).isEmpty();
                    assertThat(hostA.requests).isEmpty();
                    assertThat(call(newAdminPort, "POST /_hosts/attach", "a")).isEqualTo(200);
                    while (hostA.requests.isEmpty()) {
                        load.awaitServed(1);
                    }
                    assertThat(successor.process().isAlive()).isTrue();
                }
            }
        }
    }

    @Test
    void failedSuccessorLeavesPredecessorServing() throws Exception {
        Files.createDirectory(folder.resolve("tmp"));
        InetSocketAddress listen = ProxyProcess.freeAddress();
        int oldAdminPort = ProxyProcess.freeAddress().getPort();
        int newAdminPort = ProxyProcess.freeAddress().getPort();
        try (ScriptedServer silent = new ScriptedServer(TestPeer::awaitEnd);
                ScriptedServer hostA = ScriptedServer.host(message -> ScriptedServer.ok("a"));
                ProxyProcess predecessor =
                        launch(silent, "old", listen, oldAdminPort, ProxyFixture.endpoint("a", hostA.port()))) {
            awaitReady(oldAdminPort);
            try (ProxyProcess successor =
                    launch(silent, "next", listen, newAdminPort, ProxyFixture.endpoint("a", hostA.port()))) {
                awaitReady(newAdminPort);
                successor.process().kill();
            }
            try (Load load = new Load(listen)) {
                load.awaitServed(100);
                assertThat(load.failures).isEmpty();
            }
            predecessor.process().terminate();
            assertThat(predecessor.process().await()).isZero();
            assertThat(log("old")).contains("draining, successor=false").doesNotContain("successor=true");
        }
    }
}
