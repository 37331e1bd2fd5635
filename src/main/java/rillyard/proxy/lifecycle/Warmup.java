package rillyard.proxy.lifecycle;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import rillyard.balancer.Settings;
import rillyard.proxy.ClientProxy;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.http.ProtocolHeaders;
import rillyard.proxy.logging.ProxyLog;

/**
 * Guards against the first seconds of a proxy that has part of a core: cold code takes ten times
 * as long. Before the proxy says that it is ready, a second one, on ports of its own, passes on
 * requests from itself to itself, so that what every request needs is loaded and mostly compiled.
 * It costs those who wait for a proxy that restarts, so it ends when more of it gains less.
 */
public final class Warmup {
    /**
     * Weighed against what comes after, in plays of days with restarts. With 40 a proxy is back a
     * second sooner, which gained on one day and lost more on another, where half a core can't follow
     * the first requests through cold code and clients give up by the tenth; 10 lost on both.
     */
    private static final int REQUESTS = 200;

    private static final int CLIENTS = 8;
    private static final int HOSTS = 8;
    private static final byte[] BODY = new byte[600];

    private final ProxyConfig config;
    private final CountDownLatch left = new CountDownLatch(REQUESTS);
    private long sent;

    public Warmup(ProxyConfig config) {
        this.config = config;
    }

    /**
     * Runs for as long as the requests take, and no longer than {@code most} ms; returns how many were
     * answered.
     */
    public int run(long most) throws Exception {
        if (config.settings().classes().isEmpty()) {
            return 0; // nothing could be sent, and nobody be served either
        }
        ProxyLog silent = new ProxyLog(new PrintStream(OutputStream.nullOutputStream()));
        EventLoopGroup group = ClientProxy.newGroup(NioIoHandler.newFactory());
        try {
            Channel hosts = new ServerBootstrap()
                    .group(group)
                    .channel(NioServerSocketChannel.class)
                    .childHandler(pipeline(HttpRequestDecoder::new, HttpResponseEncoder::new, () -> new Responder()))
                    .bind(new InetSocketAddress(config.listen().getAddress(), 0))
                    .sync()
                    .channel();
            ClientProxy proxy = new ClientProxy(copy((InetSocketAddress) hosts.localAddress()), silent);
            try {
                proxy.start();
                Bootstrap clients = new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .handler(pipeline(HttpResponseDecoder::new, HttpRequestEncoder::new, () -> new Caller()));
                for (int i = 0; i < CLIENTS; i++) {
                    clients.connect(proxy.address());
                }
                left.await(most, TimeUnit.MILLISECONDS);
                return REQUESTS - (int) left.getCount();
            } finally {
                proxy.stop();
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    /** The same configuration, but for the addresses and the hosts. */
    private ProxyConfig copy(InetSocketAddress hosts) {
        ObjectNode known =
                JsonNodeFactory.instance.objectNode().put("version", 1).put("full", true);
        ArrayNode servers = known.putArray("servers");
        for (int i = 0; i < HOSTS; i++) {
            servers.addObject()
                    .put("id", "warm-" + i)
                    .put("addr", hosts.getAddress().getHostAddress() + ":" + hosts.getPort())
                    .put("zone", config.settings().zone())
                    .put("state", "up");
        }
        return new ProxyConfig(
                config.name(),
                new InetSocketAddress(config.listen().getAddress(), 0),
                hosts,
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

    private interface Part {
        ChannelHandler make();
    }

    private static ChannelInitializer<SocketChannel> pipeline(Part decoder, Part encoder, Part end) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(decoder.make(), encoder.make(), end.make());
            }
        };
    }

    /** Answers every request, as a host would. */
    private static final class Responder extends ChannelInboundHandlerAdapter {
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
    }

    /** Sends the next request once the last one is answered. */
    private final class Caller extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            next(ctx);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            if (msg instanceof LastHttpContent) {
                left.countDown();
                next(ctx);
            }
            ReferenceCountUtil.release(msg);
        }

        private void next(ChannelHandlerContext ctx) {
            if (sent == REQUESTS) {
                return;
            }
            var classes = config.settings().classes();
            Settings.RequestClass requestClass = classes.get((int) (sent++ % classes.size()));
            boolean safe = requestClass.semantics() == Settings.Semantics.IDEMPOTENT;
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST,
                    "/" + requestClass.name(),
                    safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(BODY));
            request.headers()
                    .set(HttpHeaderNames.HOST, "api.internal")
                    .set(ProtocolHeaders.REQUEST_ID, Long.toHexString(sent))
                    .set(ProtocolHeaders.CLASS, requestClass.name())
                    .set(ProtocolHeaders.TIMEOUT_MS, 10_000);
            if (!safe) {
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
            }
            if (requestClass.semantics() == Settings.Semantics.DEDUPLICATED) {
                request.headers().set(ProtocolHeaders.IDEMPOTENCY_KEY, Long.toHexString(sent));
            }
            ctx.writeAndFlush(request);
        }
    }
}
