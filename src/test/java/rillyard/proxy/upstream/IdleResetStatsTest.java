package rillyard.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import rillyard.proxy.ProxyFixture;
import rillyard.proxy.ScriptedServer;

/**
 * Guards against requests that fail because they are written to a connection that the host drops while it is idle, and
 * against reuse that is avoided without need.
 */
class IdleResetStatsTest {
    private static final long NANOS_PER_MILLI = 1_000_000;

    @Test
    void idleTimeWithExcessResetsIsRiskyUntilObservationsDecay() {
        IdleResetStats stats = new IdleResetStats();
        long nowNanos = 1_000_000 * NANOS_PER_MILLI;
        for (int i = 0; i < 40; i++) {
            stats.onReuse(5 * NANOS_PER_MILLI, i % 20 == 0, nowNanos);
            stats.onReuse(200 * NANOS_PER_MILLI, i % 2 == 0, nowNanos);
            stats.onReuse(1_000 * NANOS_PER_MILLI, i % 20 == 0, nowNanos);
        }
        assertThat(stats.isReuseRisky(200 * NANOS_PER_MILLI, nowNanos)).isTrue();
        assertThat(stats.isReuseRisky(5 * NANOS_PER_MILLI, nowNanos)).isFalse();
        assertThat(stats.isReuseRisky(1_000 * NANOS_PER_MILLI, nowNanos)).isFalse(); // reset as rarely as after 5 ms
        assertThat(stats.isReuseRisky(60_000 * NANOS_PER_MILLI, nowNanos)).isFalse(); // too few uses
        assertThat(stats.isReuseRisky(200 * NANOS_PER_MILLI, nowNanos + 60_000 * NANOS_PER_MILLI))
                .isFalse();
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
            int failedRequests = 0;
            for (int i = 0; i < 24; i++) {
                failedRequests +=
                        proxy.call(ProxyFixture.post("claim", 5_000, "", "x")).status() == 200 ? 0 : 1;
                Thread.sleep(70); // the idle time; a longer one serves as well
            }
            assertThat(failedRequests).isBetween(1, 9);
        }
    }
}
