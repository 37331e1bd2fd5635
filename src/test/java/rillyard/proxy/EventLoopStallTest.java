package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A loop that stands still while requests come, and what it does first when it goes on. */
@Timeout(60)
class EventLoopStallTest {
    private static final int TIME_MS = 300;

    /** Stands still for longer than a request's time. */
    private static void standStill(CountDownLatch open, long ms) throws InterruptedException {
        Thread.sleep(ms); // the gap itself
        open.countDown();
    }

    @Test
    void whatWaitedPastItsTimeIsRefusedAtOnceAndSentNowhere() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("served"));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer kept = rig.client()) {
            kept.write(ProxyFixture.get("read", 1_000));
            assertThat(kept.read().text()).isEqualTo("served");
            host.request();
            CountDownLatch open = rig.blockLoop();
            kept.write(ProxyFixture.post("claim", TIME_MS, "", "x"));
            try (TestPeer fresh = rig.client()) { // waits unaccepted
                fresh.write(ProxyFixture.post("claim", TIME_MS, "", "x"));
                standStill(open, 2 * TIME_MS);
                assertThat(kept.read().status()).isEqualTo(503);
                assertThat(fresh.read().status()).isEqualTo(503);
            }
            assertThat(host.requests).isEmpty();
        }
    }

    @Test
    void whatIsLeftOfItsTimeIsAllThatAHostIsTold() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("served"));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()));
                TestPeer peer = rig.client()) {
            peer.write(ProxyFixture.get("read", 1_000));
            peer.read();
            host.request();
            CountDownLatch open = rig.blockLoop();
            peer.write(ProxyFixture.get("read", 800));
            standStill(open, 400);
            assertThat(peer.read().text()).isEqualTo("served");
            assertThat(Integer.parseInt(host.request().header("X-Timeout-Ms"))).isBetween(1, 400);
        }
    }

    @Test
    void whatIsPastItsTimeIsAnsweredAndTheHostNotBlamed() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer host = ScriptedServer.host(message -> {
                    answer.await();
                    return ScriptedServer.ok("served");
                });
                ProxyFixture rig = new ProxyFixture(true, null, config -> {}, ProxyFixture.server("a", host.port()));
                TestPeer peer = rig.client()) {
            peer.write(ProxyFixture.post("claim", TIME_MS, "", "x"));
            host.request();
            CountDownLatch open = rig.blockLoop();
            standStill(open, 2 * TIME_MS);
            assertThat(peer.read().status()).isEqualTo(504);
            assertThat(rig.log()).contains("attempt a CANCELLED").doesNotContain("TIMEOUT");
            answer.countDown();
        }
    }

    @Test
    void aListThatCameMeanwhileIsReadBeforeARequestThatCameSooner() throws Exception {
        try (ScriptedServer server = ScriptedServer.host(message -> ScriptedServer.ok("a"));
                ScriptedServer scriptedServer = ScriptedServer.host(r -> ScriptedServer.ok("b"));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", server.port()));
                TestPeer peer = rig.client()) {
            rig.tell(2, true, ProxyFixture.server("b", scriptedServer.port()));
            String by;
            do { // until the watch is open and has been read
                peer.write(ProxyFixture.get("read", 2_000));
                by = peer.read().text();
            } while (!by.equals("b"));
            scriptedServer.requests.clear();
            CountDownLatch open = rig.blockLoop();
            peer.write(ProxyFixture.get("read", 2_000));
            rig.tell(
                    3,
                    true,
                    ProxyFixture.server("a", server.port()),
                    ProxyFixture.server("b", scriptedServer.port(), 0, "draining"));
            standStill(open, TIME_MS);
            assertThat(peer.read().text()).isEqualTo("a");
            assertThat(scriptedServer.requests).isEmpty();
        }
    }
}
