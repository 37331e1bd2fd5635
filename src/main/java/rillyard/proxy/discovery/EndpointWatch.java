package rillyard.proxy.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import rillyard.balancer.WatchEvent;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.logging.ProxyLog;
import rillyard.settings.JsonTreeReader;
import rillyard.trace.TraceEvent;

/**
 * The watch on the list of hosts. It resumes from the last version that was applied, so that a
 * break loses no change.
 */
public final class EndpointWatch {
    /*
     * What a watch misses counts as told 6 s after it fell silent, or after a call for it went wrong. Within that
     * time a silent one is opened anew, and so is one after a wait, a connect and an answer's time that all went
     * as badly as they may. One after the other they may take longer: see docs/design/endings.md.
     */

    public static final int CONNECT_TIMEOUT_MS = 1_000;

    /** A watch says something whole every 2 s; one that has not for longer than this (ns) is broken. */
    public static final long SILENCE_NANOS = 2_800_000_000L;

    /** How long (ns) a call may go without an answer: asked discovery has it wait 2 s at most. */
    public static final long UNANSWERED_NANOS = 2_400_000_000L;

    /**
     * First wait (ms) before a broken watch is opened anew where lists are pushed, doubled up to the last. Its
     * agent is on this machine and asks no price, and what it has counts as told from its return on.
     */
    private static final long BACKOFF_MS = 50;

    private static final long BACKOFF_MAX_MS = 250;

    private final EventLoopGroup loop;
    private final EndpointRegistry endpoints;
    private final EndpointListListener listener;
    private final ProxyLog log;
    private InetSocketAddress address;
    private final boolean polling;
    private final Bootstrap bootstrap;
    private long version;
    private long malformed;
    private long backoff = BACKOFF_MS;
    private Watch watch;
    private Future<?> reopening;

    public EndpointWatch(
            EventLoopGroup loop,
            ProxyConfig config,
            EndpointRegistry endpoints,
            EndpointListListener listener,
            ProxyLog log) {
        this.loop = loop;
        this.endpoints = endpoints;
        this.listener = listener;
        this.log = log;
        this.address = config.discovery();
        this.polling = config.settings().mustSubscribe();
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {}
                });
    }

    /** Starts the module with the list of the configuration, and the watch behind it. */
    public void start(JsonNode known) {
        EndpointRegistry.EndpointList news;
        try {
            news = endpoints.read(known);
            version = news.version();
        } catch (IllegalArgumentException e) {
            news = new EndpointRegistry.EndpointList(0, true, List.of());
        }
        listener.onWatchStarting(news, this::open);
        if (!polling) {
            open();
        }
    }

    /**
     * Discovery has moved: watches it at its new address from the last version on. Guards against a
     * wait for the old one, which may stay open and say nothing more. Harmless where it has not moved.
     */
    public void moveTo(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        log.info("watch: discovery moves from " + address + " to " + to);
        address = to;
        backoff = BACKOFF_MS;
        open();
    }

    /** Opens the watch, in place of one that is open or waits to be opened. */
    private void open() {
        if (reopening != null) {
            reopening.cancel(false);
            reopening = null;
        }
        if (watch != null) {
            Watch old = watch;
            watch = null;
            old.channel.close();
        }
        if (log.trace() != null) {
            log.trace().record(TraceEvent.Kind.LIST, TraceEvent.NONE);
        }
        ChannelFuture future = bootstrap.connect(address);
        Watch w = new Watch(future.channel());
        watch = w;
        future.addListener(x -> {
            if (future.isSuccess()) {
                w.begin();
            } else {
                w.broken("can't be reached");
            }
        });
    }

    /**
     * Reads what the watch has waiting, ahead of all other sockets. Guards against requests that came before a list did and,
     * after a gap in this process's own time, would be read before it: they would go to hosts that drain by then.
     */
    public void readFirst() {
        if (watch != null && watch.channel instanceof AbstractNioChannel c && c.isActive()) {
            c.unsafe().read();
        }
    }

    /** Ends a watch that has gone silent. */
    public void runMaintenance() {
        if (watch != null && System.nanoTime() - watch.heardAt > (watch.good ? SILENCE_NANOS : UNANSWERED_NANOS)) {
            watch.broken("silent");
        }
    }

    private void retry() {
        if (polling) {
            listener.onWatchFailed(); // the module decides when to ask again
            return;
        }
        long wait = backoff / 2 + (long) (Math.random() * backoff);
        backoff = Math.min(2 * backoff, BACKOFF_MAX_MS);
        reopening = loop.schedule(this::open, wait, TimeUnit.MILLISECONDS);
    }

    private final class Watch extends ChannelInboundHandlerAdapter implements JsonObjectFramer.Listener {
        private final Channel channel;
        private final JsonObjectFramer frames = new JsonObjectFramer();
        private long heardAt = System.nanoTime();
        private boolean good;

        Watch(Channel channel) {
            this.channel = channel;
        }

        void begin() {
            if (watch != this) {
                channel.close();
                return;
            }
            channel.pipeline().addLast(new HttpResponseDecoder(), new HttpRequestEncoder(), this);
            DefaultFullHttpRequest r = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.GET,
                    "/catalog/members?follow=1&since=" + version,
                    Unpooled.EMPTY_BUFFER);
            r.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
            channel.writeAndFlush(r);
        }

        /** Ends this watch once and has it opened anew. */
        void broken(String why) {
            channel.close();
            if (watch == this) {
                watch = null;
                log.info("watch: " + why);
                retry();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            try {
                if (watch == this) {
                    take((HttpObject) msg);
                }
            } finally {
                ReferenceCountUtil.release(msg);
            }
        }

        private void take(HttpObject part) {
            if (part.decoderResult().isFailure()) {
                broken("malformed answer");
            } else if (part instanceof HttpResponse head && head.status().code() != 200) {
                broken("answered " + head.status().code());
            } else if (part instanceof HttpContent content) {
                String wrong = frames.take(content.content(), this);
                if (wrong != null && watch == this) {
                    malformed(wrong);
                }
                if (part instanceof LastHttpContent && watch == this) {
                    broken("ended");
                }
            }
        }

        /** The watch lives: guards against one whose bytes come for ever and are never whole. */
        @Override
        public void blank() {
            if (watch != this) {
                return; // it came behind what broke the watch
            }
            heardAt = System.nanoTime();
            if (!good) {
                good = true;
                backoff = BACKOFF_MS;
            }
        }

        @Override
        public void list(byte[] bytes, int length) {
            if (watch != this) {
                return; // broken by one before it, which came with it
            }
            EndpointRegistry.EndpointList news;
            try {
                news = endpoints.read(JsonTreeReader.read(bytes, 0, length));
            } catch (IOException | IllegalArgumentException e) {
                malformed(e.getMessage());
                return;
            }
            apply(news);
            blank();
        }

        /** The last good list stays; what this one was to tell comes again from its version on. */
        private void malformed(String why) {
            log.info("watch: malformed list, " + ++malformed + " so far: " + why);
            broken("can't be understood");
        }

        private void apply(EndpointRegistry.EndpointList news) {
            // A whole list that opens a watch is all that this discovery knows, whatever it counts from.
            if (news.version() < version && (good || !news.full())) {
                log.info("watch: version " + news.version() + " is older than " + version + ", left out");
                return;
            }
            version = news.version();
            listener.onEndpointList(news.full() ? WatchEvent.FULL : WatchEvent.DELTA, news);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            broken("closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.error("the watch failed", cause);
            }
            broken("failed");
        }
    }
}
