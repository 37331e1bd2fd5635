package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against faults of the admin endpoint of a proxy: metrics that differ from what clients saw, a host that gets
 * requests though an operator disabled it, and admin calls that keep the proxy or other admin calls waiting.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class AdminEndpointTest {
    @TempDir
    Path temporaryDirectory;

    private ProxyFixture createFixture(String... servers) throws Exception {
        ProxyFixture fixture = new ProxyFixture(config -> config.put("operator", "127.0.0.1:0"), servers);
        fixture.proxy.startAdmin(Map.of("TMPDIR", temporaryDirectory.toString()));
        fixture.proxy.onReady();
        return fixture;
    }

    private static TestPeer.Message call(ProxyFixture fixture, String methodAndTarget, String body) throws Exception {
        try (TestPeer peer = TestPeer.connect(fixture.proxy.adminAddress().getPort())) {
            peer.write(
                    methodAndTarget + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            return peer.read();
        }
    }

    private static int post(ProxyFixture fixture, String path, String host) throws Exception {
        return call(fixture, "POST /_hosts/" + path, host).status();
    }

    /** Waits until the metrics contain a line; the test times out if they never do. */
    private static void awaitMetric(ProxyFixture fixture, String line) throws Exception {
        while (!call(fixture, "GET /_vars", "").text().contains(line + "\n")) {
            Thread.sleep(10);
        }
    }

    private static String claim() {
        return ProxyFixture.post("claim", 800, "", "x");
    }

    @Test
    void metricsCountWhatClientsSaw() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer good = ScriptedServer.host(message -> {
                    if (message.startLine().startsWith("GET")) {
                        answer.await();
                    }
                    return ScriptedServer.ok("x");
                });
                ProxyFixture fixture = createFixture(ProxyFixture.endpoint("a", good.port()))) {
            for (int i = 0; i < 5; i++) {
                assertThat(fixture.call(claim()).status()).isEqualTo(200);
            }
            try (TestPeer peer = fixture.client()) {
                peer.write(ProxyFixture.get("read", 5_000));
                good.requests.clear();
                awaitMetric(fixture, "proxy.pending:1|g");
                answer.countDown();
                assertThat(peer.read().status()).isEqualTo(200);
            }
            String text = call(fixture, "GET /_vars", "").text();
            assertThat(text)
                    .contains("proxy.completed.claim:5|c\n", "proxy.completed.read:1|c\n", "proxy.completed.log:0|c\n")
                    .contains("proxy.rejected.claim:0|c\n", "proxy.failed.claim:0|c\n")
                    .contains("proxy.upstream_requests:6|c\n", "proxy.pending:0|g\n");
            awaitMetric(fixture, "proxy.members:1|g");
            fixture.announce(2, true, ProxyFixture.endpoint("a", good.port(), 0, "draining"));
            awaitMetric(fixture, "proxy.members_unavailable:1|g");
            assertThat(fixture.call(claim()).status()).isEqualTo(503);
            assertThat(call(fixture, "GET /_vars", "").text()).contains("proxy.rejected.claim:1|c\n");
        }
    }

    @Test
    void failuresAreCounted() throws Exception {
        try (ScriptedServer bad = ScriptedServer.host(message -> ScriptedServer.status(500, ""));
                ProxyFixture fixture = createFixture(ProxyFixture.endpoint("a", bad.port()))) {
            assertThat(fixture.call(claim()).status()).isEqualTo(502);
            assertThat(call(fixture, "GET /_vars", "").text())
                    .contains("proxy.failed.claim:1|c\n", "proxy.completed.claim:0|c\n");
        }
    }

    @Test
    void disabledHostGetsNoRequestsWhateverDiscoverySays() throws Exception {
        try (ScriptedServer hostA = ScriptedServer.host(message -> ScriptedServer.ok("a"));
                ScriptedServer hostB = ScriptedServer.host(message -> ScriptedServer.ok("b"));
                ProxyFixture fixture = createFixture(
                        ProxyFixture.endpoint("a", hostA.port()), ProxyFixture.endpoint("b", hostB.port()))) {
            assertThat(post(fixture, "detach", "nobody")).isEqualTo(404);
            assertThat(post(fixture, "attach", "nobody")).isEqualTo(404);
            assertThat(post(fixture, "detach", "a")).isEqualTo(200);
            assertThat(post(fixture, "detach", "a")).isEqualTo(200);
            for (int version = 2; version < 8; version++) {
                fixture.announce(
                        version,
                        true,
                        ProxyFixture.endpoint("a", hostA.port()),
                        ProxyFixture.endpoint("b", hostB.port()));
                if (version == 5) {
                    fixture.announce(version, true, ProxyFixture.endpoint("b", hostB.port()));
                }
                assertThat(fixture.call(claim()).text()).isEqualTo("b");
            }
            assertThat(hostA.requests).isEmpty();
            awaitMetric(fixture, "proxy.members:2|g");
            awaitMetric(fixture, "proxy.members_unavailable:1|g");
            assertThat(post(fixture, "attach", "a")).isEqualTo(200);
            List<String> served = new ArrayList<>();
            while (!served.contains("a")) {
                served.add(fixture.call(claim()).text());
            }
            awaitMetric(fixture, "proxy.members_unavailable:0|g");
        }
    }

    @Test
    void disabledHostsAreSharedBetweenProcesses() throws Exception {
        try (ScriptedServer hostA = ScriptedServer.host(message -> ScriptedServer.ok("a"));
                ScriptedServer hostB = ScriptedServer.host(message -> ScriptedServer.ok("b"));
                ProxyFixture predecessor = createFixture(
                        ProxyFixture.endpoint("a", hostA.port()), ProxyFixture.endpoint("b", hostB.port()))) {
            assertThat(post(predecessor, "detach", "a")).isEqualTo(200);
            try (ProxyFixture successor =
                    createFixture(ProxyFixture.endpoint("a", hostA.port()), ProxyFixture.endpoint("b", hostB.port()))) {
                for (int i = 0; i < 20; i++) {
                    assertThat(successor.call(claim()).text()).isEqualTo("b");
                }
                assertThat(post(successor, "attach", "a")).isEqualTo(200);
                awaitMetric(predecessor, "proxy.members_unavailable:0|g");
                assertThat(post(predecessor, "detach", "b")).isEqualTo(200);
                awaitMetric(successor, "proxy.members_unavailable:1|g");
            }
        }
    }

    @Test
    void unfinishedAdminCallsBlockNobody() throws Exception {
        List<TestPeer> silent = new ArrayList<>();
        try (ProxyFixture fixture = createFixture()) {
            for (int i = 0; i < 40; i++) {
                TestPeer peer = TestPeer.connect(fixture.proxy.adminAddress().getPort());
                peer.write("GET /_vars HT");
                silent.add(peer);
            }
            CountDownLatch unblock = fixture.blockLoop(); // a busy event loop must not delay admin calls either
            assertThat(call(fixture, "GET /_vars", "").text()).contains("proxy.pending:0|g");
            unblock.countDown();
            assertThat(silent.get(0).read()).isNull(); // the oldest connection was closed
        } finally {
            for (TestPeer peer : silent) {
                peer.close();
            }
        }
    }

    @Test
    void invalidAdminCallsAreRejected() throws Exception {
        try (ProxyFixture fixture = createFixture()) {
            assertThat(call(fixture, "GET /_hosts/detach", "a").status()).isEqualTo(405);
            assertThat(call(fixture, "POST /_vars", "").status()).isEqualTo(405);
            assertThat(call(fixture, "GET /_nothing", "").status()).isEqualTo(404);
            assertThat(post(fixture, "detach", "")).isEqualTo(400);
            assertThat(post(fixture, "detach", "x".repeat(500))).isEqualTo(400);
            assertThat(post(fixture, "detach", "x".repeat(5_000))).isEqualTo(413);
            assertThat(call(fixture, "GET /_ready", "").status()).isEqualTo(503); // no host is known
        }
    }

    @Test
    void disableThatCantBeStoredIsNotApplied() throws Exception {
        try (ScriptedServer hostA = ScriptedServer.host(message -> ScriptedServer.ok("a"));
                ProxyFixture fixture = createFixture(ProxyFixture.endpoint("a", hostA.port()))) {
            Path folder;
            try (var directories = Files.list(temporaryDirectory)) {
                folder = directories.findFirst().orElseThrow();
            }
            // To disable host "a", its file back-YQ must be deleted, which fails for a folder that is not empty.
            Files.createDirectories(folder.resolve("back-YQ/in"));
            assertThat(post(fixture, "detach", "a")).isEqualTo(500);
            assertThat(fixture.call(claim()).status()).isEqualTo(200);
        }
    }
}
