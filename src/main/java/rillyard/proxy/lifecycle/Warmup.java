package rillyard.proxy.lifecycle;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import rillyard.admin.AcceptBackoff;
import rillyard.balancer.Settings;
import rillyard.proxy.ClientProxy;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.eventloop.EventLoops;
import rillyard.proxy.eventloop.SocketChannelFactory;
import rillyard.proxy.http.ProtocolHeaders;
import rillyard.proxy.logging.ProxyLog;

/**
 * Warms up the process: a second proxy, on its own ports, forwards requests between clients and hosts in this process,
 * so that the code that requests need is loaded and mostly compiled before the process reports that it is ready.
 *
 * <p>On a fraction of a core the first requests would otherwise take ten times as long. Clients wait while a proxy
 * restarts, so the warm-up ends when a longer one would cost more than it gains.
 */
public final class Warmup {
    /**
     * Number of requests of a warm-up. With 40 a proxy is ready a second sooner, but half a core may not keep up with
     * the first requests, so that up to a tenth of the clients give up, which costs more than the second gains. 10 is
     * worse even where 40 is better.
     */
    private static final int REQUEST_COUNT = 200;

    private static final int CLIENT_COUNT = 8;

    /** Time (ms) before a client connects again after a failed connect or a closed connection. */
    private static final long RECONNECT_DELAY_MILLIS = 5;

    private static final int HOST_COUNT = 8;
    private static final byte[] BODY = new byte[600];
    private static final int REQUEST_TIMEOUT_MILLIS = 10_000;

    private final ProxyConfig config;
    private final SocketChannelFactory channels;
    private final CountDownLatch remainingResponses = new CountDownLatch(REQUEST_COUNT);
    private long sentRequests;
    private long lostRequests;

    /** Creates a warm-up for a proxy with this configuration. */
    public Warmup(ProxyConfig config) {
        this(config, new SocketChannelFactory());
    }

    /** Creates a warm-up whose second proxy gets its channels from {@code channels}. */
    Warmup(ProxyConfig config, SocketChannelFactory channels) {
        this.config = config;
        this.channels = channels;
    }

    /**
     * Runs until all requests have responses, but no longer than {@code maxMillis}.
     *
     * @return the number of requests that got a response
     * @throws Exception if a port can't be bound or the second proxy can't be started
     */
    public int run(long maxMillis) throws Exception {
        if (config.settings().classes().isEmpty()) {
            return 0; // without request classes no request can be sent or served
        }
        EventLoopGroup group = EventLoops.newGroup(NioIoHandler.newFactory());
        try {
            InetSocketAddress hostAddress = startHosts(group);
            ProxyLog silentLog = new ProxyLog(new PrintStream(OutputStream.nullOutputStream()));
            ClientProxy proxy = new ClientProxy(configFor(hostAddress), silentLog, null, null, channels);
            try {
                proxy.start();
                startClients(group, proxy.address());
                remainingResponses.await(maxMillis, TimeUnit.MILLISECONDS);
                return REQUEST_COUNT - (int) remainingResponses.getCount();
            } finally {
                proxy.stop();
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    private InetSocketAddress startHosts(EventLoopGroup group) throws InterruptedException {
        return (InetSocketAddress) new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .handler(new AcceptBackoff("warm-up", line -> {}))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpRequestDecoder(), new HttpResponseEncoder(), new Host());
                    }
                })
                .bind(new InetSocketAddress(config.listen().getAddress(), 0))
                .sync()
                .channel()
                .localAddress();
    }

    private void startClients(EventLoopGroup group, InetSocketAddress proxyAddress) {
        Bootstrap clients = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpResponseDecoder(), new HttpRequestEncoder(), new Client());
                    }
                });
        for (int i = 0; i < CLIENT_COUNT; i++) {
            connect(clients, proxyAddress);
        }
    }

    /** Connects a client and replaces it when its connection ends, as a failed one must not leave requests unsent. */
    private void connect(Bootstrap clients, InetSocketAddress proxyAddress) {
        clients.connect(proxyAddress).addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                connected.channel().closeFuture().addListener(closed -> reconnect(clients, proxyAddress));
            } else {
                reconnect(clients, proxyAddress);
            }
        });
    }

    private void reconnect(Bootstrap clients, InetSocketAddress proxyAddress) {
        EventLoopGroup group = clients.config().group();
        if (remainingResponses.getCount() > 0 && !group.isShuttingDown()) {
            group.schedule(() -> connect(clients, proxyAddress), RECONNECT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns the configuration of the second proxy, whose discovery and hosts are all at {@code hostAddress}. */
    private ProxyConfig configFor(InetSocketAddress hostAddress) {
        ObjectNode known =
                JsonNodeFactory.instance.objectNode().put("version", 1).put("full", true);
        ArrayNode servers = known.putArray("servers");
        for (int i = 0; i < HOST_COUNT; i++) {
            servers.addObject()
                    .put("id", "warm-" + i)
                    .put("addr", hostAddress.getAddress().getHostAddress() + ":" + hostAddress.getPort())
                    .put("zone", config.settings().zone())
                    .put("state", "up");
        }
        return new ProxyConfig(
                config.name(),
                new InetSocketAddress(config.listen().getAddress(), 0),
                hostAddress,
                config.seed(),
                config.memoryMb(),
                config.maxDescriptors(),
                known,
                config.settings(),
                config.idleTimeoutMs(),
                config.connectTimeoutMs(),
                config.maxOpenRequests(),
                null);
    }

    /** Responds to every request as a host would. */
    private static final class Host extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            if (msg instanceof LastHttpContent) {
                FullHttpResponse response = new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(BODY));
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
                response.headers().set(ProtocolHeaders.SERVER_LOAD, "rif=1,fail_rate=0");
                ctx.writeAndFlush(response);
            }
            ReferenceCountUtil.release(msg);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Sends a request after each response; the other clients send one in place of a request that gets no response. */
    private final class Client extends ChannelInboundHandlerAdapter {
        private boolean isAwaitingResponse;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sendNext(ctx);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            if (msg instanceof LastHttpContent) {
                isAwaitingResponse = false;
                remainingResponses.countDown();
                sendNext(ctx);
            }
            ReferenceCountUtil.release(msg);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (isAwaitingResponse) {
                isAwaitingResponse = false;
                lostRequests++;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        private void sendNext(ChannelHandlerContext ctx) {
            if (sentRequests - lostRequests < REQUEST_COUNT) {
                isAwaitingResponse = true;
                List<Settings.RequestClass> classes = config.settings().classes();
                Settings.RequestClass requestClass = classes.get((int) (sentRequests % classes.size()));
                sentRequests++;
                ctx.writeAndFlush(newRequest(requestClass, Long.toHexString(sentRequests)));
            }
        }

        private FullHttpRequest newRequest(Settings.RequestClass requestClass, String requestId) {
            boolean isIdempotent = requestClass.semantics() == Settings.Semantics.IDEMPOTENT;
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    isIdempotent ? HttpMethod.GET : HttpMethod.POST,
                    "/" + requestClass.name(),
                    isIdempotent ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(BODY));
            request.headers()
                    .set(HttpHeaderNames.HOST, "api.internal")
                    .set(ProtocolHeaders.REQUEST_ID, requestId)
                    .set(ProtocolHeaders.CLASS, requestClass.name())
                    .set(ProtocolHeaders.TIMEOUT_MS, REQUEST_TIMEOUT_MILLIS);
            if (!isIdempotent) {
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
            }
            if (requestClass.semantics() == Settings.Semantics.DEDUPLICATED) {
                request.headers().set(ProtocolHeaders.IDEMPOTENCY_KEY, requestId);
            }
            return request;
        }
    }
}
