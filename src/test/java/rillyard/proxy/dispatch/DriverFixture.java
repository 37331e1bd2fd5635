package rillyard.proxy.dispatch;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import rillyard.proxy.ProxyFixture;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.discovery.EndpointWatch;
import rillyard.proxy.eventloop.SocketChannelFactory;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.resources.BodyMemoryBudget;
import rillyard.proxy.resources.DescriptorBudget;
import rillyard.proxy.resources.HeaderMemoryBudget;
import rillyard.proxy.upstream.UpstreamPool;

/** A balancer driver on its own event loop, with one host and no clients. */
final class DriverFixture implements AutoCloseable {
    /** Size of the body memory. */
    static final int MEMORY_BYTES = 1 << 20;

    private static final double REMAINING_MILLIS = 20_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    final EventLoop loop = (EventLoop) group.next();
    final ProxyLog log = new ProxyLog(new PrintStream(logOutput, true, StandardCharsets.UTF_8));
    final BalancerDriver driver;

    DriverFixture(int hostPort) throws Exception {
        Path file = ProxyFixture.writeConfig(1, config -> {}, ProxyFixture.endpoint("a", hostPort));
        ProxyConfig config = ProxyConfig.load(Map.of("BALANCER_CONFIG", file.toString()));
        Files.delete(file);
        SocketChannelFactory channels = new SocketChannelFactory();
        UpstreamPool upstreams = new UpstreamPool(
                group, channels, config, new DescriptorBudget(1_000), HeaderMemoryBudget.ofHeap(), null, log);
        driver = new BalancerDriver(loop, config, upstreams, new BodyMemoryBudget(MEMORY_BYTES), log, null, null);
        EndpointWatch watch = new EndpointWatch(group, channels, config, driver.endpoints(), driver, log);
        loop.submit(() -> watch.start(config.cachedEndpoints())).get();
    }

    /** Creates the exchange of an idempotent request; must be called on the event loop. */
    RequestExchange newExchange(ResponseReceiver client) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
        return new RequestExchange(new ClientRequest("r", "read", head, null, null, REMAINING_MILLIS), driver, client);
    }

    String log() {
        return logOutput.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
