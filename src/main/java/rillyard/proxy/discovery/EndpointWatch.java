package rillyard.proxy.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import rillyard.balancer.WatchEvent;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.eventloop.SocketChannelFactory;
import rillyard.proxy.logging.ProxyLog;
import rillyard.trace.TraceEvent;

/**
 * Watches the endpoint list of discovery, and reopens the watch when it breaks.
 *
 * <p>A watch resumes from the last version that was applied, so that a break loses no change. Where lists are pushed,
 * this class reopens it after a {@link ReconnectBackoff}; where discovery is polled, the listener decides when.
 *
 * <p>A change counts as announced 6 s after a watch fell silent. To stay within that time where the repair is slow as
 * well, a connection that is overdue is not awaited: another is opened beside it, at most {@link #MAX_CONNECTIONS} at a
 * time, and the first that shows a sign of life ends the others. The steps add up in docs/design/endings.md. Confined to
 * the event loop.
 */
public final class EndpointWatch {
    /** Milliseconds after which a connect to discovery has failed. */
    public static final int CONNECT_TIMEOUT_MS = 1_000;

    /** Nanoseconds without a list or a blank line after which a watch is broken; discovery sends one every 2 s. */
    public static final long SILENCE_NANOS = 2_800_000_000L;

    /** Nanoseconds that a call may go unanswered; polled discovery lets it wait for 2 s at most. */
    public static final long UNANSWERED_NANOS = 2_400_000_000L;

    /** Nanoseconds without a sign of life after which another connection is opened beside the silent one. */
    public static final long OVERDUE_NANOS = 2_300_000_000L;

    /**
     * Nanoseconds after which the same is done for a connect, and for a call that discovery answers at once: where lists
     * are pushed. Two calls in a row may go wrong then within the time that a change has.
     */
    public static final long OVERDUE_ATTEMPT_NANOS = 800_000_000L;

    /** The most connections to discovery at a time, which bounds the load of many proxies on a discovery that hangs. */
    static final int MAX_CONNECTIONS = 2;

    private final EventLoopGroup loop;
    private final EndpointListParser parser;
    private final EndpointListListener listener;
    private final ProxyLog log;
    private final boolean isPolling;
    private final Bootstrap bootstrap;
    private final ReconnectBackoff backoff = new ReconnectBackoff();
    private final List<WatchConnection> connections = new ArrayList<>(MAX_CONNECTIONS);
    private InetSocketAddress address;
    private long version;
    private long malformedLists;
    private Future<?> reconnect;

    /**
     * Creates a watch that is not open yet.
     *
     * @param loop a group of one event loop, on which the watch runs
     * @param channels creates the channels of the connections
     * @param endpoints the registry that gives the ids of hosts
     * @param listener receives the lists
     */
    public EndpointWatch(
            EventLoopGroup loop,
            SocketChannelFactory channels,
            ProxyConfig config,
            EndpointRegistry endpoints,
            EndpointListListener listener,
            ProxyLog log) {
        this.loop = loop;
        this.parser = new EndpointListParser(endpoints);
        this.listener = listener;
        this.log = log;
        this.address = config.discovery();
        this.isPolling = config.settings().mustSubscribe();
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(channels::newSocketChannel)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {}
                });
    }

    /** Reports the cached list of the configuration to the listener and opens the watch, unless it is polled. */
    public void start(JsonNode cachedList) {
        EndpointRegistry.EndpointList cached;
        try {
            cached = parser.parse(cachedList);
            version = cached.version();
        } catch (MalformedEndpointListException e) {
            cached = new EndpointRegistry.EndpointList(0, true, List.of()); // a proxy starts without a list, too
        }
        listener.onWatchStarting(cached, this::open);
        if (!isPolling) {
            open();
        }
    }

    /**
     * Continues the watch at a new address from the last version on; does nothing if the address is the present one.
     *
     * <p>The present connection is not awaited, as it may stay open and silent.
     */
    public void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        log.info("watch: discovery moved, from=" + address + " to=" + newAddress);
        address = newAddress;
        backoff.reset();
        open();
    }

    /** Opens the watch, in place of one that is open or waits to be opened. */
    private void open() {
        try {
            closeAndConnect();
        } catch (RuntimeException | Error e) {
            // Thrown further, it would be the last attempt: nobody else opens the watch again.
            log.error("watch: not opened", e);
            if (connections.isEmpty()) {
                scheduleReconnect();
            }
        }
    }

    private void closeAndConnect() {
        if (reconnect != null) {
            reconnect.cancel(false);
            reconnect = null;
        }
        connections.forEach(WatchConnection::close);
        connections.clear();
        connect();
    }

    /** Opens a connection beside those that are open. */
    private void connect() {
        if (log.trace() != null) {
            log.trace().record(TraceEvent.Kind.LIST, TraceEvent.NONE);
        }
        ChannelFuture connect = bootstrap.connect(address);
        if (!(connect.channel() instanceof PeekableSocketChannel)) {
            // The system has no socket. The channel that Netty puts in its place can't be closed, and the listeners
            // of its future would run on another thread.
            reconnectIfNoneIsOpen("no socket, cause=" + connect.cause().getCause());
            return;
        }
        WatchConnection opened = new WatchConnection(this, connect.channel());
        connections.add(opened);
        connect.addListener(connected -> {
            if (connect.isSuccess()) {
                opened.onConnected(address, version);
            } else {
                opened.fail("connect failed");
            }
        });
    }

    /**
     * Reads what the watch has pending, ahead of all other sockets.
     *
     * <p>Called after a stall of this process: requests that arrived before a list did would otherwise be read before
     * it and be sent to hosts that drain by then.
     */
    public void readPending() {
        for (WatchConnection connection : List.copyOf(connections)) {
            connection.readPending();
        }
    }

    /** Opens another connection beside an overdue one, and ends silent ones; to be called periodically. */
    public void runMaintenance() {
        long now = System.nanoTime();
        if (isOverdue(now) && connections.size() < MAX_CONNECTIONS) {
            log.info("watch: overdue, another connection is opened");
            connect();
        }
        for (WatchConnection connection : List.copyOf(connections)) {
            if (connection.isSilent(now)) {
                connection.fail("silent");
            }
        }
    }

    private boolean isOverdue(long now) {
        return !connections.isEmpty() && connections.get(connections.size() - 1).isOverdue(now, isPolling);
    }

    private void scheduleReconnect() {
        if (isPolling) {
            listener.onWatchFailed();
            return;
        }
        reconnect = loop.schedule(this::open, backoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
    }

    // --- reports of the connections that are open

    EndpointListParser parser() {
        return parser;
    }

    ProxyLog log() {
        return log;
    }

    /** A connection has shown a sign of life: the watch needs no other. */
    void onSignOfLife(WatchConnection live) {
        backoff.reset();
        for (WatchConnection other : List.copyOf(connections)) {
            if (other != live) {
                other.close();
                connections.remove(other);
            }
        }
    }

    /** A connection has ended. */
    void onEnded(WatchConnection ended, String reason) {
        connections.remove(ended);
        reconnectIfNoneIsOpen(reason);
    }

    private void reconnectIfNoneIsOpen(String reason) {
        log.info("watch: " + reason);
        if (connections.isEmpty()) {
            scheduleReconnect();
        }
    }

    /** A malformed list has come; the last good one stays and the changes come again from its version on. */
    void onMalformedList(String reason) {
        malformedLists++;
        log.info("watch: malformed list, " + malformedLists + " so far: " + reason);
    }

    /** A list has come; {@code isFirst} tells whether it is the first sign of life of its connection. */
    void onList(EndpointRegistry.EndpointList list, boolean isFirst) {
        // A full list that opens a watch is all that this discovery knows, whatever its versions count from.
        boolean isNewBase = isFirst && list.full();
        if (list.version() < version && !isNewBase) {
            log.info("watch: outdated list ignored, version=" + list.version() + " present_version=" + version);
            return;
        }
        version = list.version();
        listener.onEndpointList(list.full() ? WatchEvent.FULL : WatchEvent.DELTA, list);
    }
}
