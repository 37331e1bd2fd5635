package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against requests that are handled after a stall of the event loop as if no time had passed: they would be sent
 * to a host past their deadline or with too long a timeout, be recorded as a host's failure, or be sent to a host that
 * an endpoint list received meanwhile reports as draining.
 */
@Timeout(60)
class EventLoopStallTest {
    private static final int TIMEOUT_MILLIS = 300;

    /** Lets the stall go on for a time, then ends it. */
    private static void stall(CountDownLatch unblock, long millis) throws InterruptedException {
        Thread.sleep(millis); // duration of the stall
        unblock.countDown();
    }

    @Test
    void requestPastDeadlineAfterStallIsRejectedUnsent() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("served"));
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer kept = fixture.client()) {
            kept.write(ProxyFixture.get("read", 1_000));
            assertThat(kept.read().text()).isEqualTo("served");
            host.nextRequest();
            CountDownLatch unblock = fixture.blockLoop();
            kept.write(ProxyFixture.post("claim", TIMEOUT_MILLIS, "", "x"));
            try (TestPeer fresh = fixture.client()) { // not accepted until the stall ends
                fresh.write(ProxyFixture.post("claim", TIMEOUT_MILLIS, "", "x"));
                stall(unblock, 2 * TIMEOUT_MILLIS);
                assertThat(kept.read().status()).isEqualTo(503);
                assertThat(fresh.read().status()).isEqualTo(503);
            }
            assertThat(host.requests).isEmpty();
        }
    }

    @Test
    void stallIsDeductedFromTimeoutSentToHost() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("served"));
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer peer = fixture.client()) {
            peer.write(ProxyFixture.get("read", 1_000));
            peer.read();
            host.nextRequest();
            CountDownLatch unblock = fixture.blockLoop();
            peer.write(ProxyFixture.get("read", 800));
            stall(unblock, 400);
            assertThat(peer.read().text()).isEqualTo("served");
            assertThat(Integer.parseInt(host.nextRequest().header("X-Timeout-Ms")))
                    .isBetween(1, 400);
        }
    }

    @Test
    void overdueRequestAfterStallIsAnsweredWithoutBlamingHost() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer host = ScriptedServer.host(message -> {
                    answer.await();
                    return ScriptedServer.ok("served");
                });
                ProxyFixture fixture =
                        new ProxyFixture(true, null, config -> {}, ProxyFixture.endpoint("a", host.port()));
                TestPeer peer = fixture.client()) {
            peer.write(ProxyFixture.post("claim", TIMEOUT_MILLIS, "", "x"));
            host.nextRequest();
            CountDownLatch unblock = fixture.blockLoop();
            stall(unblock, 2 * TIMEOUT_MILLIS);
            assertThat(peer.read().status()).isEqualTo(504);
            assertThat(fixture.log()).contains("attempt a CANCELLED").doesNotContain("TIMEOUT");
            answer.countDown();
        }
    }

    @Test
    void endpointListIsAppliedBeforeEarlierRequestAfterStall() throws Exception {
        try (ScriptedServer hostA = ScriptedServer.host(message -> ScriptedServer.ok("a"));
                ScriptedServer hostB = ScriptedServer.host(message -> ScriptedServer.ok("b"));
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", hostA.port()));
                TestPeer peer = fixture.client()) {
            fixture.announce(2, true, ProxyFixture.endpoint("b", hostB.port()));
            String responder;
            do { // repeated until the list has been applied
                peer.write(ProxyFixture.get("read", 2_000));
                responder = peer.read().text();
            } while (!responder.equals("b"));
            hostB.requests.clear();
            CountDownLatch unblock = fixture.blockLoop();
            peer.write(ProxyFixture.get("read", 2_000));
            fixture.announce(
                    3,
                    true,
                    ProxyFixture.endpoint("a", hostA.port()),
                    ProxyFixture.endpoint("b", hostB.port(), 0, "draining"));
            stall(unblock, TIMEOUT_MILLIS);
            assertThat(peer.read().text()).isEqualTo("a");
            assertThat(hostB.requests).isEmpty();
        }
    }

    /** A request that fills the read buffer exactly, 2,048 bytes at first, must not make the next one count as old. */
    @Test
    void requestBehindOneThatFillsReadBufferKeepsItsTime() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            for (int i = 0; i < 3; i++) {
                String padded = ProxyFixture.post("claim", 800, "X-Padding: \r\n", "x");
                String padding = "p".repeat(2_048 - padded.length());
                client.write(padded.replace("X-Padding: ", "X-Padding: " + padding));
                assertThat(client.read().status()).isEqualTo(200);
                Thread.sleep(900); // longer than the timeout
            }
        }
    }
}
