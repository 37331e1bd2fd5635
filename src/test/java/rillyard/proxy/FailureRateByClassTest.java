package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Guards against a host that never responds to one request class and is fast with another. Its fast responses make it
 * look idle, so that it would get most requests of the failing class, unless failures are recorded by class.
 */
class FailureRateByClassTest {
    private static final int ROUNDS = 40;

    private static String log() {
        return ProxyFixture.post("log", 250, "Idempotency-Key: " + System.nanoTime() + "\r\n", "x");
    }

    @Test
    void hostFailingOneClassStillGetsOthers() throws Exception {
        AtomicInteger claims = new AtomicInteger();
        AtomicInteger logs = new AtomicInteger();
        ScriptedServer.Reply lossy = message -> {
            if (message.startLine().contains("/claim")) {
                claims.incrementAndGet();
                Thread.sleep(600_000);
            }
            logs.incrementAndGet();
            return ScriptedServer.ok("x");
        };
        ScriptedServer.Reply healthy = message -> {
            Thread.sleep(20);
            return ScriptedServer.ok("x");
        };
        try (ScriptedServer hostA = ScriptedServer.host(lossy);
                ScriptedServer hostB = ScriptedServer.host(healthy);
                ProxyFixture fixture = new ProxyFixture(
                        ProxyFixture.endpoint("a", hostA.port()), ProxyFixture.endpoint("b", hostB.port()));
                TestPeer claim = fixture.client();
                TestPeer one = fixture.client();
                TestPeer two = fixture.client();
                TestPeer three = fixture.client()) {
            for (int i = 0; i < ROUNDS; i++) {
                claim.write(ProxyFixture.post("claim", 250, "", "x"));
                // Enough logs, while the claim is in flight, that each host gets one: its response overtakes the claim,
                // which therefore counts as lost.
                for (TestPeer peer : new TestPeer[] {one, two, three}) {
                    peer.write(log());
                }
                for (TestPeer peer : new TestPeer[] {one, two, three, claim}) {
                    peer.read();
                }
            }
        }
        // At least half of the claims if hosts are chosen by requests in flight alone.
        assertThat(claims.get()).isLessThan(ROUNDS / 4);
        assertThat(logs.get()).isGreaterThan(ROUNDS / 2);
    }
}
