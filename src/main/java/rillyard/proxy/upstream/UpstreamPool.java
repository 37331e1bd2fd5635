package rillyard.proxy.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;
import rillyard.connections.IdleTimeoutPolicy;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.resources.DescriptorBudget;
import rillyard.trace.TraceEvent.Kind;

/** The connections to hosts: opens them as needed, keeps the idle ones, ends them in time. */
public final class UpstreamPool {
    /** Part of the host's idle time after which a connection is closed: well before the host does. */
    private static final double IDLE_PART = 0.7;

    /** How long (ns) a connection must have stood idle for its end to have been heard of. */
    private static final long SETTLE_NANOS = 30_000_000L;

    /** How long (ns) the rest of an unwanted answer is waited for. */
    private static final long DISCARD_NANOS = 500_000_000L;

    /** Small reads and marks bound what one connection holds in memory. */
    public static final AdaptiveRecvByteBufAllocator READS = new AdaptiveRecvByteBufAllocator(512, 2048, 16_384);

    public static final WriteBufferWaterMark MARKS = new WriteBufferWaterMark(16_384, 32_768);

    public static final HttpDecoderConfig DECODER = new HttpDecoderConfig()
            .setMaxInitialLineLength(8_192)
            .setMaxHeaderSize(16_384)
            .setMaxChunkSize(16_384)
            .setInitialBufferSize(256);

    private final Bootstrap bootstrap;
    private final DescriptorBudget sockets;
    private final ProxyLog log;
    private final IdleTimeoutPolicy idleTimes;
    private final Set<UpstreamConnection> discarding = new HashSet<>();
    private final IdleResetStats risk = new IdleResetStats();
    private long refused;

    public UpstreamPool(EventLoopGroup loop, ProxyConfig config, DescriptorBudget sockets, ProxyLog log) {
        this.sockets = sockets;
        this.log = log;
        this.idleTimes =
                IdleTimeoutPolicy.of(config.settings().proxyCount(), (long) (IDLE_PART * config.idleTimeoutMs() * 1e6));
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(PeekableSocketChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, config.connectTimeoutMs()))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, READS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, MARKS)
                .handler(new ChannelInitializer<PeekableSocketChannel>() {
                    @Override
                    protected void initChannel(PeekableSocketChannel channel) {}
                });
    }

    /** Carries the call to its host on a quiet connection, or on a new one. */
    public void start(UpstreamCall call) {
        UpstreamHost host = call.host;
        UpstreamConnection connection;
        long now = System.nanoTime();
        while ((connection = pick(host.idle, UpstreamConnection::since, now)) != null) {
            host.idle.remove(connection);
            sockets.setUpstreamIdle(connection, false);
            if (connection.alive() && connection.reusable() && !risk.risky(now - connection.since(), now)) {
                connection.run(call);
                return;
            }
            connection.channel().close();
        }
        if (!sockets.hasCapacity()) {
            if (refused++ % 100 == 0) {
                log.info("out of sockets: " + refused + " attempts had none");
            }
            call.onNotSent();
            return;
        }
        connect(call, host);
    }

    /**
     * The idle connection to use: the newest of those that have stood for a while, else the oldest.
     * Guards against a host that ends its connection right behind an answer, or is about to go: the
     * end is on its way for so long, and a request that crosses it counts as one that may have run.
     * The cost is a connection or two more for each host, all of them in use.
     */
    public static <T> T pick(ArrayDeque<T> idle, ToLongFunction<T> since, long now) {
        for (Iterator<T> newest = idle.descendingIterator(); newest.hasNext(); ) {
            T c = newest.next();
            if (now - since.applyAsLong(c) >= SETTLE_NANOS) {
                return c;
            }
        }
        return idle.peekFirst();
    }

    private void connect(UpstreamCall call, UpstreamHost host) {
        ChannelFuture future = bootstrap.connect(host.address);
        PeekableSocketChannel channel = (PeekableSocketChannel) future.channel();
        UpstreamConnection.Decoder decoder = new UpstreamConnection.Decoder(DECODER);
        UpstreamConnection connection = new UpstreamConnection(this, host, channel, decoder);
        sockets.onUpstreamOpened();
        channel.closeFuture().addListener(x -> sockets.onUpstreamClosed());
        call.connecting(channel);
        host.connecting.add(call);
        future.addListener(x -> {
            traceConnect(future, host);
            if (!host.connecting.remove(call)) {
                channel.close(); // given up meanwhile
            } else if (!future.isSuccess()) {
                call.onNotSent();
            } else if (!call.mayBegin()) {
                channel.close();
                call.onNotNeeded();
            } else {
                channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
                connection.run(call);
            }
        });
    }

    private void traceConnect(ChannelFuture future, UpstreamHost host) {
        if (log.trace() != null) {
            log.trace().record(future.isSuccess() ? Kind.CONNECTED : Kind.CONNECT_FAILED, host.name);
            if (future.isSuccess()) {
                future.channel().closeFuture().addListener(x -> log.trace().record(Kind.CLOSED, host.name));
            }
        }
    }

    /** The call is over, whether or not it was ever started. */
    public void end(UpstreamCall call) {
        call.host.calls--;
        call.host.connecting.remove(call);
        call.abandon();
    }

    void idle(UpstreamHost host, UpstreamConnection connection) {
        discarding.remove(connection);
        host.idle.addLast(connection);
        sockets.setUpstreamIdle(connection, true);
    }

    /** What came of the use of a connection that had stood idle. */
    void reused(long idleNanos, boolean broke) {
        risk.used(idleNanos, broke, System.nanoTime());
    }

    void discarding(UpstreamConnection connection) {
        discarding.add(connection);
    }

    void malformed(UpstreamHost host, Throwable cause) {
        log.info(() -> host.name + " sent what is no answer: " + cause);
    }

    void closed(UpstreamHost host, UpstreamConnection connection) {
        discarding.remove(connection);
        host.idle.remove(connection);
        sockets.setUpstreamIdle(connection, false);
    }

    /** Nothing new goes to the host as it was: returns the calls that had not got a connection. */
    public List<UpstreamCall> closeIdleAndConnecting(UpstreamHost host) {
        for (UpstreamConnection connection : new ArrayList<>(host.idle)) {
            if (!connection.reusable()) {
                connection.channel().close();
            }
        }
        List<UpstreamCall> unsent = new ArrayList<>(host.connecting);
        host.connecting.clear();
        return unsent;
    }

    /** Closes what has been idle for long. */
    public void runMaintenance(Iterable<UpstreamHost> hosts) {
        long now = System.nanoTime();
        for (UpstreamHost host : hosts) {
            UpstreamConnection connection;
            while ((connection = host.idle.peekFirst()) != null
                    && idleTimes.isExpired(host.idle.size(), now - connection.since())) {
                host.idle.pollFirst();
                connection.channel().close();
            }
        }
        for (UpstreamConnection upstreamConnection : new ArrayList<>(discarding)) {
            if (now - upstreamConnection.since() > DISCARD_NANOS) {
                upstreamConnection.channel().close();
            }
        }
    }
}
