package rillyard.proxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rillyard.balancer.WatchEvent;
import rillyard.endpoints.DisabledHosts;
import rillyard.endpoints.HostStartClock;
import rillyard.proxy.ProxyFixture;
import rillyard.proxy.ScriptedServer;
import rillyard.proxy.TestPeer;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.eventloop.SocketChannelFactory;
import rillyard.proxy.logging.ProxyLog;
import rillyard.trace.ProxyTrace;

/**
 * Guards against a watch that stays closed for ever because an exception was thrown while it was being opened: nothing
 * else reopens it, and the proxy would use an outdated list.
 */
@Timeout(30)
class EndpointWatchFailureTest {
    private final BlockingQueue<TestPeer.Message> requests = new LinkedBlockingQueue<>();
    private final AtomicBoolean throwsOnTrace = new AtomicBoolean();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();

    /** A trace, written before each connect of the watch, that throws once when {@link #throwsOnTrace} is set. */
    private final class ThrowingStream extends PrintStream {
        ThrowingStream() {
            super(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8);
        }

        @Override
        public void println(String line) {
            if (throwsOnTrace.getAndSet(false)) {
                throw new IllegalStateException("thrown by the test");
            }
        }
    }

    private static final class IgnoringListener implements EndpointListListener {
        @Override
        public void onWatchStarting(EndpointRegistry.EndpointList known, Runnable watchOpener) {}

        @Override
        public void onEndpointList(WatchEvent kind, EndpointRegistry.EndpointList list) {}

        @Override
        public void onWatchFailed() {}
    }

    @Test
    void watchIsOpenedAgainAfterThrow() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ScriptedServer discovery = new ScriptedServer(peer -> {
            TestPeer.Message request = peer.read();
            throwsOnTrace.set(true); // at the reconnect, which follows the end of this connection
            requests.add(request);
        })) {
            Path file = ProxyFixture.writeConfig(discovery.port(), config -> {});
            ProxyConfig config = ProxyConfig.load(Map.of("BALANCER_CONFIG", file.toString()));
            Files.delete(file);
            ProxyLog log = new ProxyLog(
                    new PrintStream(logged, true, StandardCharsets.UTF_8), new ProxyTrace(new ThrowingStream()));
            EndpointRegistry registry = new EndpointRegistry(new HostStartClock(0, 0), new DisabledHosts());
            EndpointWatch watch =
                    new EndpointWatch(group, new SocketChannelFactory(), config, registry, new IgnoringListener(), log);
            group.next().submit(() -> watch.start(config.cachedEndpoints())).get();
            assertThat(requests.poll(10, TimeUnit.SECONDS)).isNotNull();
            assertThat(requests.poll(10, TimeUnit.SECONDS)).isNotNull();
            assertThat(logged.toString(StandardCharsets.UTF_8)).contains("watch: not opened");
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
