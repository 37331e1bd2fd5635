package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A host that never responds to one request class and is fast with another. */
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
        ScriptedServer.Reply sound = message -> {
            Thread.sleep(20);
            return ScriptedServer.ok("x");
        };
        try (ScriptedServer hostA = ScriptedServer.host(lossy);
                ScriptedServer hostB = ScriptedServer.host(sound);
                ProxyFixture fixture = new ProxyFixture(
                        ProxyFixture.endpoint("a", hostA.port()), ProxyFixture.endpoint("b", hostB.port()));
                TestPeer claim = fixture.client();
                TestPeer one = fixture.client();
                TestPeer two = fixture.client();
                TestPeer three = fixture.client()) {
            for (int i = 0; i < ROUNDS; i++) {
                claim.write(ProxyFixture.post("claim", 250, "", "x"));
                // While it is out, so many logs that each host gets one: the lost claim is overtaken.
                for (TestPeer peer : new TestPeer[] {one, two, three}) {
                    peer.write(log());
                }
                for (TestPeer peer : new TestPeer[] {one, two, three, claim}) {
                    peer.read();
                }
            }
        }
        assertThat(claims.get()).isLessThan(ROUNDS / 4); // half of them or more by counts alone
        assertThat(logs.get()).isGreaterThan(ROUNDS / 2);
    }
}
