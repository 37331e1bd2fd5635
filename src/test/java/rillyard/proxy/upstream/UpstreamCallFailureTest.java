package rillyard.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rillyard.balancer.EndpointEntry;
import rillyard.proxy.ProxyFixture;
import rillyard.proxy.ScriptedServer;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.eventloop.SocketChannelFactory;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.resources.DescriptorBudget;
import rillyard.proxy.resources.HeaderMemoryBudget;

/**
 * Guards against calls that never end because they throw in a timer or at the end of a connect, where no handler of a
 * channel catches the exception.
 */
@Timeout(30)
class UpstreamCallFailureTest {
    private static final long SHORT_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final String HANDLER_FAILED = "handler failed";

    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final BlockingQueue<String> reports = new LinkedBlockingQueue<>();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final UpstreamHost upstreamHost = new UpstreamHost("a", 0);
    private ScriptedServer server;
    private UpstreamPool pool;

    /** Records how it ends in {@link #reports}. */
    private class ReportingCall extends UpstreamCall {
        ReportingCall() {
            super(upstreamHost);
        }

        @Override
        public ChannelFuture write(Channel channel) {
            return channel.writeAndFlush(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
        }

        @Override
        public void onWritten() {}

        @Override
        public void onSendFailed() {
            reports.add("not sent");
        }

        @Override
        public void onLocalFailure() {
            reports.add("local failure");
        }

        @Override
        public void onAbandonedBeforeSend() {
            reports.add("not needed");
        }

        @Override
        public void onResponseHead(HttpResponse head) {}

        @Override
        public void onResponseContent(HttpContent part) {}

        @Override
        public void onResponseEnd() {
            reports.add("end");
        }

        @Override
        public void onConnectionLost() {
            reports.add("connection lost");
        }

        @Override
        public void onHandlerFailed() {
            reports.add(HANDLER_FAILED);
        }
    }

    @BeforeEach
    void startPool() throws Exception {
        server = new ScriptedServer(peer -> {
            peer.read();
            peer.write("HTTP/1.1 200 OK\r\nContent-Le");
            peer.awaitEnd();
        });
        Path file = ProxyFixture.writeConfig(1, config -> {});
        ProxyConfig config = ProxyConfig.load(Map.of("BALANCER_CONFIG", file.toString()));
        Files.delete(file);
        ProxyLog log = new ProxyLog(new PrintStream(logOutput, true, StandardCharsets.UTF_8));
        pool = new UpstreamPool(
                group,
                new SocketChannelFactory(),
                config,
                new DescriptorBudget(100),
                HeaderMemoryBudget.ofHeap(),
                null,
                log);
        upstreamHost.onAnnounced(
                new EndpointEntry(0, "z", "k", 0, EndpointEntry.Condition.READY, 0),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()),
                0);
        upstreamHost.setSendable(true);
    }

    @AfterEach
    void stop() throws Exception {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
        server.close();
    }

    private void assertHandlerFailureIsReported(UpstreamCall call) throws Exception {
        loop.submit(() -> pool.start(call)).get();
        assertThat(reports.poll(10, TimeUnit.SECONDS)).isEqualTo(HANDLER_FAILED);
        loop.submit(() -> pool.release(call)).get();
        assertThat(logOutput.toString(StandardCharsets.UTF_8)).contains("upstream: handler failed, host=a");
        assertThat(reports).isEmpty();
    }

    @Test
    void exceptionInStallCheckEndsCall() throws Exception {
        assertHandlerFailureIsReported(new ReportingCall() {
            private boolean isScheduled;

            @Override
            public long stalledAtNanos(long lastReadNanos) {
                if (isScheduled) {
                    throw new IllegalStateException("thrown by the test");
                }
                isScheduled = true;
                return lastReadNanos + SHORT_STALL_NANOS;
            }
        });
    }

    @Test
    void exceptionAtEndOfConnectEndsCall() throws Exception {
        assertHandlerFailureIsReported(new ReportingCall() {
            @Override
            public boolean mayBeWritten() {
                throw new IllegalStateException("thrown by the test");
            }
        });
    }
}
