package rillyard.testserver;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Promise;
import io.netty.util.concurrent.PromiseCombiner;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import rillyard.config.InvalidConfigException;
import rillyard.scheduling.EventLoops;

/**
 * Starts faults on demand over HTTP. {@code POST /faults} takes {@code [[fault]]} tables in the format of a fault
 * schedule and begins all of them at once; if one is invalid, it begins none and responds with the errors. The
 * response is sent when the last fault has begun.
 */
final class FaultControlServer {
    private static final int MAX_REQUEST_BYTES = 64 * 1024;

    private final TestCluster cluster;

    FaultControlServer(TestCluster cluster) {
        this.cluster = cluster;
    }

    /**
     * Starts to listen and returns the bound address. Must not be called on the event loop.
     *
     * @throws Exception if the bind fails
     */
    InetSocketAddress start(EventLoopGroup loop, InetSocketAddress bindAddress) throws Exception {
        return (InetSocketAddress) new ServerBootstrap()
                .group(loop)
                .channel(EventLoops.serverChannelType())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                        new FaultHandler());
                    }
                })
                .bind(bindAddress)
                .sync()
                .channel()
                .localAddress();
    }

    /** Handles the requests of one connection. */
    private final class FaultHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (!request.uri().equals("/faults") || !request.method().equals(HttpMethod.POST)) {
                respond(ctx, HttpResponseStatus.NOT_FOUND, "POST /faults takes [[fault]] tables\n");
                return;
            }
            try {
                List<HostFault> faults =
                        TestClusterPlanReader.faults("faults", request.content().toString(StandardCharsets.UTF_8));
                for (HostFault fault : faults) {
                    if (!fault.kind().isDiscoveryFault() && cluster.address(fault.host()) == null) {
                        respond(ctx, HttpResponseStatus.BAD_REQUEST, "no host '" + fault.host() + "'\n");
                        return;
                    }
                }
                begin(ctx, faults);
            } catch (InvalidConfigException e) {
                respond(ctx, HttpResponseStatus.BAD_REQUEST, e.getMessage() + "\n");
            }
        }

        /**
         * Responds when the last fault has begun, as the client's next request may reach a host on another event
         * loop.
         */
        private void begin(ChannelHandlerContext ctx, List<HostFault> faults) {
            PromiseCombiner all = new PromiseCombiner(ctx.executor());
            faults.forEach(fault -> all.add(cluster.begin(fault)));
            Promise<Void> begun = ctx.executor().newPromise();
            all.finish(begun);
            begun.addListener(result -> {
                if (result.isSuccess()) {
                    respond(ctx, HttpResponseStatus.OK, faults.size() + " begun\n");
                } else {
                    respond(
                            ctx,
                            HttpResponseStatus.INTERNAL_SERVER_ERROR,
                            result.cause().getMessage() + "\n");
                }
            });
        }

        private void respond(ChannelHandlerContext ctx, HttpResponseStatus status, String text) {
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
