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

/** The second address of a proxy: readiness, figures, hosts out by hand. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class AdminEndpointTest {
    @TempDir
    Path tmp;

    private ProxyFixture rig(String... servers) throws Exception {
        ProxyFixture rig = new ProxyFixture(config -> config.put("operator", "127.0.0.1:0"), servers);
        rig.proxy.startAdmin(Map.of("TMPDIR", tmp.toString()));
        rig.proxy.onReady();
        return rig;
    }

    private static TestPeer.Message call(ProxyFixture rig, String what, String body) throws Exception {
        try (TestPeer peer = TestPeer.connect(rig.proxy.adminAddress().getPort())) {
            peer.write(what + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            return peer.read();
        }
    }

    private static int post(ProxyFixture rig, String path, String host) throws Exception {
        return call(rig, "POST /_hosts/" + path, host).status();
    }

    /** The figure once it has this value; a test that waits for another one runs out of time. */
    private static void awaitFigure(ProxyFixture rig, String line) throws Exception {
        while (!call(rig, "GET /_vars", "").text().contains(line + "\n")) {
            Thread.sleep(10);
        }
    }

    private static String claim() {
        return ProxyFixture.post("claim", 800, "", "x");
    }

    @Test
    void figuresTellWhatPeersSaw() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer good = ScriptedServer.host(message -> {
                    if (message.line().startsWith("GET")) {
                        answer.await();
                    }
                    return ScriptedServer.ok("x");
                });
                ProxyFixture rig = rig(ProxyFixture.server("a", good.port()))) {
            for (int i = 0; i < 5; i++) {
                assertThat(rig.call(claim()).status()).isEqualTo(200);
            }
            try (TestPeer peer = rig.client()) {
                peer.write(ProxyFixture.get("read", 5_000));
                good.requests.clear();
                awaitFigure(rig, "proxy.pending:1|g");
                answer.countDown();
                assertThat(peer.read().status()).isEqualTo(200);
            }
            String text = call(rig, "GET /_vars", "").text();
            assertThat(text)
                    .contains("proxy.completed.claim:5|c\n", "proxy.completed.read:1|c\n", "proxy.completed.log:0|c\n")
                    .contains("proxy.rejected.claim:0|c\n", "proxy.failed.claim:0|c\n")
                    .contains("proxy.upstream_requests:6|c\n", "proxy.pending:0|g\n");
            awaitFigure(rig, "proxy.members:1|g");
            rig.tell(2, true, ProxyFixture.server("a", good.port(), 0, "draining"));
            awaitFigure(rig, "proxy.members_unavailable:1|g");
            assertThat(rig.call(claim()).status()).isEqualTo(503);
            assertThat(call(rig, "GET /_vars", "").text()).contains("proxy.rejected.claim:1|c\n");
        }
    }

    @Test
    void failuresAreCounted() throws Exception {
        try (ScriptedServer bad = ScriptedServer.host(message -> ScriptedServer.status(500, ""));
                ProxyFixture rig = rig(ProxyFixture.server("a", bad.port()))) {
            assertThat(rig.call(claim()).status()).isEqualTo(502);
            assertThat(call(rig, "GET /_vars", "").text())
                    .contains("proxy.failed.claim:1|c\n", "proxy.completed.claim:0|c\n");
        }
    }

    @Test
    void aHostThatIsOutGetsNothingWhateverDiscoverySays() throws Exception {
        try (ScriptedServer server = ScriptedServer.host(message -> ScriptedServer.ok("a"));
                ScriptedServer scriptedServer = ScriptedServer.host(r -> ScriptedServer.ok("b"));
                ProxyFixture rig =
                        rig(ProxyFixture.server("a", server.port()), ProxyFixture.server("b", scriptedServer.port()))) {
            assertThat(post(rig, "detach", "nobody")).isEqualTo(404);
            assertThat(post(rig, "attach", "nobody")).isEqualTo(404);
            assertThat(post(rig, "detach", "a")).isEqualTo(200);
            assertThat(post(rig, "detach", "a")).isEqualTo(200);
            for (int v = 2; v < 8; v++) {
                rig.tell(
                        v,
                        true,
                        ProxyFixture.server("a", server.port()),
                        ProxyFixture.server("b", scriptedServer.port()));
                if (v == 5) {
                    rig.tell(v, true, ProxyFixture.server("b", scriptedServer.port()));
                }
                assertThat(rig.call(claim()).text()).isEqualTo("b");
            }
            assertThat(server.requests).isEmpty();
            awaitFigure(rig, "proxy.members:2|g");
            awaitFigure(rig, "proxy.members_unavailable:1|g");
            assertThat(post(rig, "attach", "a")).isEqualTo(200);
            List<String> served = new ArrayList<>();
            while (!served.contains("a")) {
                served.add(rig.call(claim()).text());
            }
            awaitFigure(rig, "proxy.members_unavailable:0|g");
        }
    }

    @Test
    void whatOneProcessDoesByHandHoldsInTheOther() throws Exception {
        try (ScriptedServer server = ScriptedServer.host(message -> ScriptedServer.ok("a"));
                ScriptedServer scriptedServer = ScriptedServer.host(r -> ScriptedServer.ok("b"));
                ProxyFixture old =
                        rig(ProxyFixture.server("a", server.port()), ProxyFixture.server("b", scriptedServer.port()))) {
            assertThat(post(old, "detach", "a")).isEqualTo(200);
            try (ProxyFixture next =
                    rig(ProxyFixture.server("a", server.port()), ProxyFixture.server("b", scriptedServer.port()))) {
                for (int i = 0; i < 20; i++) {
                    assertThat(next.call(claim()).text()).isEqualTo("b");
                }
                assertThat(post(next, "attach", "a")).isEqualTo(200);
                awaitFigure(old, "proxy.members_unavailable:0|g");
                assertThat(post(old, "detach", "b")).isEqualTo(200);
                awaitFigure(next, "proxy.members_unavailable:1|g");
            }
        }
    }

    @Test
    void callersThatFinishNoCallAreInNobodysWay() throws Exception {
        List<TestPeer> silent = new ArrayList<>();
        try (ProxyFixture rig = rig()) {
            for (int i = 0; i < 40; i++) {
                TestPeer peer = TestPeer.connect(rig.proxy.adminAddress().getPort());
                peer.write("GET /_vars HT");
                silent.add(peer);
            }
            CountDownLatch open = rig.blockLoop(); // nor is the proxy's own work
            assertThat(call(rig, "GET /_vars", "").text()).contains("proxy.pending:0|g");
            open.countDown();
            assertThat(silent.get(0).read()).isNull(); // the oldest gave way
        } finally {
            for (TestPeer testPeer : silent) {
                testPeer.close();
            }
        }
    }

    @Test
    void whatIsNoCallIsOwedANo() throws Exception {
        try (ProxyFixture rig = rig()) {
            assertThat(call(rig, "GET /_hosts/detach", "a").status()).isEqualTo(405);
            assertThat(call(rig, "POST /_vars", "").status()).isEqualTo(405);
            assertThat(call(rig, "GET /_nothing", "").status()).isEqualTo(404);
            assertThat(post(rig, "detach", "")).isEqualTo(400);
            assertThat(post(rig, "detach", "x".repeat(500))).isEqualTo(400);
            assertThat(post(rig, "detach", "x".repeat(5_000))).isEqualTo(413);
            assertThat(call(rig, "GET /_ready", "").status()).isEqualTo(503); // no host is known
        }
    }

    @Test
    void whatCantBeKeptIsNotDone() throws Exception {
        try (ScriptedServer server = ScriptedServer.host(message -> ScriptedServer.ok("a"));
                ProxyFixture rig = rig(ProxyFixture.server("a", server.port()))) {
            Path folder;
            try (var all = Files.list(tmp)) {
                folder = all.findFirst().orElseThrow();
            }
            // What the name would be is taken by a folder that can't be replaced.
            Files.createDirectories(folder.resolve("back-YQ/in"));
            assertThat(post(rig, "detach", "a")).isEqualTo(500);
            assertThat(rig.call(claim()).status()).isEqualTo(200);
        }
    }
}
