package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a new host process that is taken for the former one at its address: repeats then reach hosts that don't
 * know their idempotency key, and requests are written to connections of a process that is gone. Runs the built jar.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class HostProcessIdentityIT {
    private static final String FAILED = ScriptedServer.status(500, "");

    @TempDir
    Path folder;

    private static String endpoint(String id, int port, int cell, long startedUnixMillis) {
        return ProxyFixture.endpoint(id, port, cell, "up")
                .replace("\"started_ms\":0", "\"started_ms\":" + startedUnixMillis);
    }

    private static void awaitApplied(PlatformProxy proxy) throws Exception {
        proxy.discovery.lines.add(""); // ends the watch; the next one is opened once all of this one was read
        String request;
        do {
            request = proxy.discovery.watchRequests.poll(20, TimeUnit.SECONDS);
        } while (!request.contains("since=2 "));
    }

    @Test
    void idempotencyKeyIsNotRepeatedAtNewProcessOfOtherCellAtFormerAddress() throws Exception {
        Set<String> executedInCell1 = ConcurrentHashMap.newKeySet();
        Set<String> executedTwice = ConcurrentHashMap.newKeySet();
        try (ScriptedServer failing = ScriptedServer.host(message -> {
                    executedInCell1.add(message.header("Idempotency-Key"));
                    return FAILED;
                });
                ScriptedServer reused = ScriptedServer.host(message -> {
                    if (executedInCell1.contains(message.header("Idempotency-Key"))) {
                        executedTwice.add(message.header("Idempotency-Key"));
                    }
                    return ScriptedServer.ok("x");
                });
                PlatformProxy proxy = PlatformProxy.start(
                        folder,
                        PlatformProxy.limits(128, 1_024),
                        endpoint("failing", failing.port(), 1, 0),
                        endpoint("gone", reused.port(), 1, 0));
                TestPeer client = proxy.client()) {
            proxy.discovery.announce(2, false, endpoint("new", reused.port(), 2, System.currentTimeMillis()));
            awaitApplied(proxy);
            for (int i = 0; i < 60; i++) {
                client.write(ProxyFixture.post("log", 1_200, "Idempotency-Key: k" + i + "\r\n", "x"));
                client.read();
            }
            assertThat(executedTwice).isEmpty();
        }
    }

    @Test
    void idleConnectionOfFormerProcessGetsNoRequestAfterRestartIsAnnounced() throws Exception {
        AtomicBoolean restarted = new AtomicBoolean();
        ScriptedServer host = new ScriptedServer(peer -> {
            boolean isFormer = !restarted.get();
            while (peer.read() != null) {
                if (isFormer && restarted.get()) {
                    peer.awaitEnd(); // the former machine has vanished: nothing answers on its connections
                    return;
                }
                peer.write(ScriptedServer.ok("served"));
            }
        });
        try (host;
                PlatformProxy proxy = PlatformProxy.start(
                        folder, PlatformProxy.limits(128, 1_024), endpoint("a", host.port(), 0, 0));
                TestPeer client = proxy.client()) {
            client.write(ProxyFixture.post("claim", 800, "", "x"));
            assertThat(client.read().text()).isEqualTo("served");
            restarted.set(true);
            proxy.discovery.announce(2, false, endpoint("a", host.port(), 0, System.currentTimeMillis() - 60_000));
            awaitApplied(proxy);
            Thread.sleep(TimeUnit.NANOSECONDS.toMillis(rillyard.proxy.upstream.UpstreamPool.MIN_IDLE_NANOS));
            client.write(ProxyFixture.post("claim", 800, "", "x"));
            assertThat(client.read().text()).isEqualTo("served");
        }
    }
}
