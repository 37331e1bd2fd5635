package rillyard.testserver;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import rillyard.requestlog.RequestLogWriter;
import rillyard.requestlog.UnixClock;
import rillyard.requestlog.WatchNotification;
import rillyard.scheduling.EventLoops;

/**
 * Serves the endpoint list and watches on it over HTTP. Confined to one event loop; other threads call {@link #start}
 * and {@link #loop} only.
 */
final class DiscoveryServer {
    /**
     * Interval at which a watch without changes gets an empty line, so that its client can distinguish an idle watch
     * from a lost one.
     */
    private static final long KEEPALIVE_MILLIS = 2_000;

    private final EventLoop loop;
    private final EndpointCatalog catalog;
    private final RequestLogWriter requestLog;
    private final AdvertisedAddresses advertisedAddresses;
    private final Set<Watch> watches = new LinkedHashSet<>();
    private Channel listener;
    private long watchCount;
    private boolean stale;
    private boolean unresponsive;

    DiscoveryServer(
            EventLoop loop,
            EndpointCatalog catalog,
            RequestLogWriter requestLog,
            AdvertisedAddresses advertisedAddresses) {
        this.loop = loop;
        this.catalog = catalog;
        this.requestLog = requestLog;
        this.advertisedAddresses = advertisedAddresses;
    }

    /**
     * Starts to listen and returns the bound address. Must not be called on the event loop.
     *
     * @throws Exception if the bind fails
     */
    InetSocketAddress start(InetSocketAddress bindAddress) throws Exception {
        listener = new ServerBootstrap()
                .group(loop)
                .channel(EventLoops.serverChannelType())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new CatalogHandler());
                    }
                })
                .bind(bindAddress)
                .sync()
                .channel();
        loop.scheduleAtFixedRate(this::sendKeepAlive, KEEPALIVE_MILLIS, KEEPALIVE_MILLIS, TimeUnit.MILLISECONDS);
        return (InetSocketAddress) listener.localAddress();
    }

    /** Returns the event loop that all other methods must be called on. */
    EventLoop loop() {
        return loop;
    }

    /** Applies a change to the endpoint list and sends it to the watches, unless discovery is stale or unresponsive. */
    void change(EndpointCatalog.Entry entry) {
        EndpointCatalog.Change change = catalog.apply(entry);
        requestLog.append(
                new WatchNotification(UnixClock.micros(), 0, entry.spec().id(), entry.state(), change.version()));
        notifyWatches();
    }

    private void notifyWatches() {
        if (!stale && !unresponsive) {
            watches.forEach(Watch::catchUp);
        }
    }

    /** Returns a host's entry, or null if the list has none. */
    EndpointCatalog.Entry get(String id) {
        return catalog.get(id);
    }

    /** Begins or ends a fault of discovery. Changes that were withheld are sent when it ends. */
    void setFault(HostFault.Kind kind, boolean active) {
        if (kind == HostFault.Kind.DISCOVERY_STALE) {
            stale = active;
        } else {
            unresponsive = active;
        }
        notifyWatches();
    }

    private void sendKeepAlive() {
        if (!unresponsive) {
            for (Watch watch : watches) {
                watch.write("");
            }
        }
    }

    /** Returns the mapping from a host's address to the address that is advertised to the given client. */
    private UnaryOperator<String> advertisedTo(Channel caller) {
        InetAddress from = ((InetSocketAddress) caller.remoteAddress()).getAddress();
        return address -> advertisedAddresses.address(from, address);
    }

    /** One client's watch: the version that it has received, and the channel that it is streamed on. */
    private final class Watch {
        private final Channel channel;
        private final long number = ++watchCount;
        private long version;
        private boolean started;

        Watch(Channel channel, long since) {
            this.channel = channel;
            this.version = since;
        }

        void write(String line) {
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8)));
        }

        /** Sends the changes since the last version sent. The first line is always sent, even without a change. */
        void catchUp() {
            if (started && version == catalog.version()) {
                return;
            }
            started = true;
            write(catalog.changesSince(version, advertisedTo(channel)));
            for (EndpointCatalog.Entry entry : catalog.entriesSince(version)) {
                requestLog.append(new WatchNotification(
                        UnixClock.micros(), number, entry.spec().id(), entry.state(), catalog.version()));
            }
            version = catalog.version();
        }
    }

    /** Handles the requests of one connection: for the list, or for a watch, which then occupies the connection. */
    private final class CatalogHandler extends ChannelInboundHandlerAdapter {
        private HttpRequest head;
        private Watch watch;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            try {
                if (((HttpObject) msg).decoderResult().isFailure()) {
                    ctx.close();
                    return;
                }
                if (msg instanceof HttpRequest request) {
                    head = request;
                }
                if (msg instanceof LastHttpContent && head != null && watch == null && !unresponsive) {
                    handleRequest(ctx, head);
                }
            } finally {
                ReferenceCountUtil.release(msg);
            }
        }

        private void handleRequest(ChannelHandlerContext ctx, HttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (!query.path().equals("/catalog/members")) {
                respond(ctx, HttpResponseStatus.NOT_FOUND, "");
                return;
            }
            boolean follow =
                    query.parameters().getOrDefault("follow", List.of()).contains("1");
            long since = 0;
            try {
                since = Long.parseLong(
                        query.parameters().getOrDefault("since", List.of("0")).get(0));
            } catch (NumberFormatException e) {
                respond(ctx, HttpResponseStatus.BAD_REQUEST, "since is no number");
                return;
            }
            if (!follow) {
                respond(ctx, HttpResponseStatus.OK, catalog.fullList(advertisedTo(ctx.channel())));
                return;
            }
            DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            ctx.write(response);
            watch = new Watch(ctx.channel(), since);
            watches.add(watch);
            if (stale) {
                watch.write("");
            } else {
                watch.catchUp();
            }
        }

        private void respond(ChannelHandlerContext ctx, HttpResponseStatus status, String body) {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            ctx.writeAndFlush(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (watch != null) {
                watches.remove(watch);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
