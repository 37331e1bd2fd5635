package rillyard.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import rillyard.proxy.ProxyFixture;
import rillyard.proxy.ScriptedServer;

/** What is learned of connections that stood idle. */
class IdleResetStatsTest {
    private static final long MS = 1_000_000;

    @Test
    void longPausesThatBreakAreAvoidedUntilForgotten() {
        IdleResetStats risk = new IdleResetStats();
        long now = 1_000_000 * MS;
        for (int i = 0; i < 40; i++) {
            risk.used(5 * MS, i % 20 == 0, now);
            risk.used(200 * MS, i % 2 == 0, now);
            risk.used(1_000 * MS, i % 20 == 0, now);
        }
        assertThat(risk.risky(200 * MS, now)).isTrue();
        assertThat(risk.risky(5 * MS, now)).isFalse();
        assertThat(risk.risky(1_000 * MS, now)).isFalse(); // breaks no more often than after 5 ms
        assertThat(risk.risky(60_000 * MS, now)).isFalse(); // not known
        assertThat(risk.risky(200 * MS, now + 60_000 * MS)).isFalse();
    }

    @Test
    void connectionsThatAreForgottenWhileIdleAreNotUsedAgain() throws Exception {
        // Each connection serves at once, and breaks on what comes after a pause.
        ScriptedServer host = new ScriptedServer(peer -> {
            peer.read();
            peer.write(ScriptedServer.ok("x"));
            peer.read();
            peer.reset();
        });
        try (host;
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()))) {
            int broken = 0;
            for (int i = 0; i < 24; i++) {
                broken += rig.call(ProxyFixture.post("claim", 5_000, "", "x")).status() == 200 ? 0 : 1;
                Thread.sleep(70); // the pause itself; a longer one is as good
            }
            assertThat(broken).isBetween(1, 9);
        }
    }
}
