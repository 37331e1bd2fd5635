package rillyard.proxy.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
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
import rillyard.proxy.eventloop.ReadScheduler;
import rillyard.proxy.eventloop.SocketChannelFactory;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.resources.ConnectionLimits;
import rillyard.proxy.resources.DescriptorBudget;
import rillyard.proxy.resources.HeaderMemoryAccount;
import rillyard.proxy.resources.HeaderMemoryBudget;
import rillyard.trace.TraceEvent.Kind;

/**
 * Manages the connections to hosts: opens them on demand, keeps idle ones for reuse and closes them before hosts do.
 *
 * <p>Confined to the event loop.
 */
public final class UpstreamPool {
    /** Fraction of the host's idle timeout after which a connection is closed, well before the host closes it. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.7;

    /** Idle time before which a connection is not reused, as hosts send second copies of a response some ms late. */
    public static final long MIN_IDLE_NANOS = 10_000_000L;

    /** Idle time after which the end of the connection has been received if the host closed it after the response. */
    private static final long SETTLE_NANOS = 30_000_000L;

    /** Time for which the rest of a discarded response is awaited. */
    private static final long DISCARD_TIMEOUT_NANOS = 500_000_000L;

    /** Number of attempts without a free descriptor for which one log line is written. */
    private static final int REJECTIONS_PER_LOG_LINE = 100;

    private final Bootstrap bootstrap;
    private final DescriptorBudget descriptors;
    private final HeaderMemoryBudget headerMemory;
    private final ReadScheduler readScheduler;
    private final ProxyLog log;
    private final IdleTimeoutPolicy idleTimeouts;
    private final Set<UpstreamConnection> discarding = new HashSet<>();
    private final IdleResetStats idleResets = new IdleResetStats();
    private final ConnectFailureClassifier connectFailures;
    private long rejectedAttempts;

    /**
     * Creates a pool without connections.
     *
     * @param loop a group of one event loop, on which all connections live
     * @param readScheduler scheduler of that loop, null if reads are not limited
     */
    public UpstreamPool(
            EventLoopGroup loop,
            SocketChannelFactory channels,
            ProxyConfig config,
            DescriptorBudget descriptors,
            HeaderMemoryBudget headerMemory,
            ReadScheduler readScheduler,
            ProxyLog log) {
        this.descriptors = descriptors;
        this.readScheduler = readScheduler;
        this.headerMemory = headerMemory;
        this.log = log;
        this.connectFailures = new ConnectFailureClassifier(log);
        this.idleTimeouts = IdleTimeoutPolicy.of(
                config.settings().proxyCount(), (long) (IDLE_TIMEOUT_FRACTION * config.idleTimeoutMs() * 1e6));
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(channels::newSocketChannel)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, config.connectTimeoutMs()))
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, ConnectionLimits.READ_BUFFER_ALLOCATOR)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, ConnectionLimits.WRITE_BUFFER_WATER_MARK)
                .handler(new ChannelInitializer<PeekableSocketChannel>() {
                    @Override
                    protected void initChannel(PeekableSocketChannel channel) {}
                });
    }

    /** Sends a call to its host on an idle connection, or on a new one. */
    public void start(UpstreamCall call) {
        UpstreamHost host = call.host();
        UpstreamConnection idle = call.needsNewConnection() ? null : takeIdle(host);
        if (idle != null) {
            idle.send(call);
        } else if (descriptors.hasCapacity()) {
            connect(call, host);
        } else {
            if (rejectedAttempts++ % REJECTIONS_PER_LOG_LINE == 0) {
                log.info("descriptors: limit reached, rejected_attempts=" + rejectedAttempts);
            }
            call.onLocalFailure();
        }
    }

    /** Removes and returns a usable idle connection, null if there is none; closes unusable ones selected before. */
    private UpstreamConnection takeIdle(UpstreamHost host) {
        long nowNanos = System.nanoTime();
        UpstreamConnection connection;
        while ((connection = selectIdle(host.idleConnections(), UpstreamConnection::idleSinceNanos, nowNanos))
                != null) {
            removeIdle(host, connection);
            if (connection.isAlive()
                    && connection.isReusable()
                    && !idleResets.isReuseRisky(nowNanos - connection.idleSinceNanos(), nowNanos)) {
                return connection;
            }
            connection.channel().close();
        }
        return null;
    }

    /**
     * Selects the idle connection to use: the latest to become idle of those that have settled, else the longest idle
     * if it has been idle for {@link #MIN_IDLE_NANOS}.
     *
     * <p>A host that closes its connection right after a response, or shuts down, does so within the settle time; a
     * request that crosses the close counts as one that may have been executed. A second copy of a response that
     * crosses a request would be taken for the response to it, and each further response for that to the next request.
     * The cost is one or two more connections to each host, all of them in use.
     *
     * @param idle connections in the order in which they became idle
     * @param idleSinceNanos returns the time at which a connection became idle
     * @param nowNanos the current time on the same clock
     * @return the connection, still in {@code idle}, or null if none may be used
     */
    public static <T> T selectIdle(ArrayDeque<T> idle, ToLongFunction<T> idleSinceNanos, long nowNanos) {
        for (Iterator<T> newestFirst = idle.descendingIterator(); newestFirst.hasNext(); ) {
            T connection = newestFirst.next();
            if (nowNanos - idleSinceNanos.applyAsLong(connection) >= SETTLE_NANOS) {
                return connection;
            }
        }
        T longestIdle = idle.peekFirst();
        boolean isUsable = longestIdle != null && nowNanos - idleSinceNanos.applyAsLong(longestIdle) >= MIN_IDLE_NANOS;
        return isUsable ? longestIdle : null;
    }

    private void connect(UpstreamCall call, UpstreamHost host) {
        ChannelFuture future = bootstrap.connect(host.address());
        if (!(future.channel() instanceof PeekableSocketChannel channel)) {
            // No socket could be created. The channel that Netty returns instead has no event loop, and the listeners
            // of its future would run on another thread.
            connectFailures.reportLocal(call, future.cause());
            return;
        }
        channel.limitReads(readScheduler);
        UpstreamResponseDecoder decoder = new UpstreamResponseDecoder(new HeaderMemoryAccount(headerMemory, null));
        UpstreamConnection connection = new UpstreamConnection(this, host, channel, decoder);
        descriptors.onUpstreamOpened();
        channel.closeFuture().addListener(closed -> descriptors.onUpstreamClosed());
        call.onConnecting(channel);
        host.onConnecting(call);
        future.addListener(connected -> {
            try {
                onConnectEnded(future, call, connection, decoder);
            } catch (RuntimeException | Error e) {
                connection.onHandlerFailed(call, e);
            }
        });
    }

    private void onConnectEnded(
            ChannelFuture future, UpstreamCall call, UpstreamConnection connection, UpstreamResponseDecoder decoder) {
        UpstreamHost host = call.host();
        Channel channel = future.channel();
        traceConnect(future, host);
        if (!host.onConnectEnded(call)) {
            channel.close(); // the call was abandoned meanwhile
        } else if (!future.isSuccess()) {
            connectFailures.report(call, future.cause());
        } else if (!call.mayBeWritten()) {
            connectFailures.onReached(host);
            channel.close();
            call.onAbandonedBeforeSend();
        } else {
            connectFailures.onReached(host);
            channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection.newHandler());
            connection.send(call);
        }
    }

    private void traceConnect(ChannelFuture future, UpstreamHost host) {
        if (log.trace() == null) {
            return;
        }
        log.trace().record(future.isSuccess() ? Kind.CONNECTED : Kind.CONNECT_FAILED, host.name());
        if (future.isSuccess()) {
            future.channel().closeFuture().addListener(closed -> log.trace().record(Kind.CLOSED, host.name()));
        }
    }

    /** Releases a call that has ended, whether or not it was ever started. */
    public void release(UpstreamCall call) {
        call.host().onCallReleased(call);
        call.abandon();
    }

    // --- reports of connections

    void onIdle(UpstreamHost host, UpstreamConnection connection) {
        discarding.remove(connection);
        connectFailures.onReached(host);
        host.idleConnections().addLast(connection);
        descriptors.setUpstreamIdle(connection, true);
    }

    void onReuse(long idleNanos, boolean wasReset) {
        idleResets.onReuse(idleNanos, wasReset, System.nanoTime());
    }

    void onDiscarding(UpstreamConnection connection) {
        discarding.add(connection);
    }

    void onMalformedResponse(UpstreamHost host, Throwable cause) {
        log.info(() -> "upstream: malformed response, host=" + host.name() + " cause=" + cause);
    }

    void onHandlerFailed(UpstreamHost host, Throwable cause) {
        log.error("upstream: handler failed, host=" + host.name(), cause);
    }

    void onClosed(UpstreamHost host, UpstreamConnection connection) {
        discarding.remove(connection);
        removeIdle(host, connection);
    }

    private void removeIdle(UpstreamHost host, UpstreamConnection connection) {
        host.idleConnections().remove(connection);
        descriptors.setUpstreamIdle(connection, false);
    }

    // --- the end of connections

    /**
     * Closes the idle connections that may not be reused, after a host was drained or has moved.
     *
     * @return the calls that waited for a connection to the host; they wait no longer, and the caller must end them
     */
    public List<UpstreamCall> closeIdleAndTakeConnecting(UpstreamHost host) {
        for (UpstreamConnection connection : new ArrayList<>(host.idleConnections())) {
            if (!connection.isReusable()) {
                connection.channel().close();
            }
        }
        return host.takeConnectingCalls();
    }

    /** Closes connections that have been idle, or discarding a response, for too long; to be called periodically. */
    public void runMaintenance(Iterable<UpstreamHost> hosts) {
        long nowNanos = System.nanoTime();
        for (UpstreamHost host : hosts) {
            closeExpired(host.idleConnections(), nowNanos);
        }
        for (UpstreamConnection connection : new ArrayList<>(discarding)) {
            if (nowNanos - connection.idleSinceNanos() > DISCARD_TIMEOUT_NANOS) {
                connection.channel().close();
            }
        }
    }

    private void closeExpired(ArrayDeque<UpstreamConnection> idle, long nowNanos) {
        UpstreamConnection oldest;
        while ((oldest = idle.peekFirst()) != null
                && idleTimeouts.isExpired(idle.size(), nowNanos - oldest.idleSinceNanos())) {
            idle.pollFirst();
            oldest.channel().close();
        }
    }
}
