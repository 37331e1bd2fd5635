package rillyard.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import rillyard.proxy.ProxyFixture;
import rillyard.proxy.ScriptedServer;

/** Idle times after which connections are not reused. */
class IdleResetStatsTest {
    private static final long MS = 1_000_000;

    @Test
    void idleTimeWithExcessResetsIsRiskyUntilObservationsDecay() {
        IdleResetStats stats = new IdleResetStats();
        long now = 1_000_000 * MS;
        for (int i = 0; i < 40; i++) {
            stats.onReuse(5 * MS, i % 20 == 0, now);
            stats.onReuse(200 * MS, i % 2 == 0, now);
            stats.onReuse(1_000 * MS, i % 20 == 0, now);
        }
        assertThat(stats.isReuseRisky(200 * MS, now)).isTrue();
        assertThat(stats.isReuseRisky(5 * MS, now)).isFalse();
        assertThat(stats.isReuseRisky(1_000 * MS, now)).isFalse(); // reset no more often than after 5 ms
        assertThat(stats.isReuseRisky(60_000 * MS, now)).isFalse(); // too few uses
        assertThat(stats.isReuseRisky(200 * MS, now + 60_000 * MS)).isFalse();
    }

    @Test
    void connectionsThatHostDropsWhileIdleAreNotReused() throws Exception {
        // Each connection serves its first request and is reset by one that follows a pause.
        ScriptedServer host = new ScriptedServer(peer -> {
            peer.read();
            peer.write(ScriptedServer.ok("x"));
            peer.read();
            peer.reset();
        });
        try (host;
                ProxyFixture proxy = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            int failed = 0;
            for (int i = 0; i < 24; i++) {
                failed += proxy.call(ProxyFixture.post("claim", 5_000, "", "x")).status() == 200 ? 0 : 1;
                Thread.sleep(70); // the pause itself; a longer one is as good
            }
            assertThat(failed).isBetween(1, 9);
        }
    }
}
