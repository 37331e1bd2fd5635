package rillyard.proxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import rillyard.proxy.ProxyFixture;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.eventloop.FaultInjectingChannels;

/**
 * Guards against a warm-up that lengthens each start, leaves threads behind, or ends early, so that the first requests
 * of clients run code that is not compiled yet.
 */
class WarmupTest {
    private static final long MAX_WARM_UP_MILLIS = 30_000;

    /** Each restart waits for the requests of the warm-up; the test keeps their number from growing unnoticed. */
    @Test
    void warmUpAnswersAllRequestsAndLeavesNoThreads() throws Exception {
        Path file = ProxyFixture.writeConfig(1, config -> {}, ProxyFixture.endpoint("a", 1));
        Set<Thread> before = Thread.getAllStackTraces().keySet();
        int answered = new Warmup(ProxyConfig.load(Map.of("BALANCER_CONFIG", file.toString()))).run(MAX_WARM_UP_MILLIS);
        Files.delete(file);
        assertThat(answered).isBetween(20, 200);
        for (Thread thread : Thread.getAllStackTraces().keySet()) {
            if (!before.contains(thread) && thread.getName().startsWith("loop-")) {
                thread.join(MAX_WARM_UP_MILLIS);
                assertThat(thread.isAlive()).as(thread.getName()).isFalse();
            }
        }
    }

    /** Without the remaining requests, their code would not be compiled when the first clients connect. */
    @Test
    void warmUpIsCompleteThoughConnectionOfClientFails() throws Exception {
        Path file = ProxyFixture.writeConfig(1, config -> {}, ProxyFixture.endpoint("a", 1));
        ProxyConfig config = ProxyConfig.load(Map.of("BALANCER_CONFIG", file.toString()));
        Files.delete(file);
        int usualCount = new Warmup(config).run(MAX_WARM_UP_MILLIS);
        FaultInjectingChannels channels = new FaultInjectingChannels();
        channels.throwOnNextEndOfStreamCheck(); // the proxy answers 502 and closes the connection
        long startNanos = System.nanoTime();
        assertThat(new Warmup(config, channels).run(MAX_WARM_UP_MILLIS)).isEqualTo(usualCount);
        assertThat(System.nanoTime() - startNanos).isLessThan(MAX_WARM_UP_MILLIS * 1_000_000 / 2);
    }

    @Test
    void configurationWithoutClassesSkipsWarmUp() throws Exception {
        Path file = ProxyFixture.writeConfig(
                1, config -> config.withObject("/settings").putArray("classes"), ProxyFixture.endpoint("a", 1));
        long startNanos = System.nanoTime();
        int answered = new Warmup(ProxyConfig.load(Map.of("BALANCER_CONFIG", file.toString()))).run(MAX_WARM_UP_MILLIS);
        Files.delete(file);
        assertThat(answered).isZero();
        assertThat(System.nanoTime() - startNanos).isLessThan(MAX_WARM_UP_MILLIS * 1_000_000 / 2);
    }
}
