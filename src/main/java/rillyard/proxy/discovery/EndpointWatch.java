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
 * Watches the endpoint list of discovery, and reopens the watch when it fails.
 *
 * <p>A watch resumes from the last version that was applied, so that a failure loses no change. If lists are pushed,
 * this class reopens it after a {@link ReconnectBackoff}; if discovery is polled, the listener decides when.
 *
 * <p>A change counts as announced 6 s after a watch fell silent. To stay within that time even if the reconnect is
 * slow, another connection is opened beside one that is overdue, at most {@link #MAX_CONNECTIONS} at a time; the first
 * that receives a list or a blank line ends the others. The steps add up in docs/design/endings.md. Confined to the
 * event loop.
 */
public final class EndpointWatch {
    /** Timeout of a connect to discovery. */
    public static final int CONNECT_TIMEOUT_MS = 1_000;

    /** Time without a list or a blank line after which a watch has failed; discovery sends one every 2 s. */
    public static final long SILENCE_NANOS = 2_800_000_000L;

    /** Time for which a watch request may go unanswered; polled discovery holds it for at most 2 s. */
    public static final long UNANSWERED_NANOS = 2_400_000_000L;

    /** Time without a list or a blank line after which another connection is opened beside the silent one. */
    public static final long OVERDUE_NANOS = 2_300_000_000L;

    /**
     * Time after which another connection is opened beside one that is connecting, or whose request is unanswered if
     * lists are pushed, as discovery then answers at once. It allows two failures in a row within the 6 s for a change.
     */
    public static final long OVERDUE_ATTEMPT_NANOS = 800_000_000L;

    /** Most connections to discovery at a time; limits the load of many proxies on a discovery that hangs. */
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
            cached = new EndpointRegistry.EndpointList(0, true, List.of()); // a proxy also starts without a list
        }
        listener.onWatchStarting(cached, this::open);
        if (!isPolling) {
            open();
        }
    }

    /**
     * Continues the watch at a new address from the last version; does nothing if the address has not changed.
     *
     * <p>The present connection is closed at once, as it might stay open and silent.
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

    /** Opens the watch, in place of one that is open or scheduled to be opened. */
    private void open() {
        try {
            closeAndConnect();
        } catch (RuntimeException | Error e) {
            // Must not propagate, as nothing else would reopen the watch.
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
            // No socket could be created. The channel that Netty substitutes can't be closed, and the listeners of its
            // future would run on another thread.
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
     * Reads the pending input of the watch before that of all other sockets.
     *
     * <p>Called after a stall of this process: otherwise requests that arrived before a list would also be read before
     * it, and be sent to hosts that are draining by then.
     */
    public void readPending() {
        for (WatchConnection connection : List.copyOf(connections)) {
            connection.readPending();
        }
    }

    /** Opens another connection beside an overdue one, and ends silent ones; called periodically. */
    public void runMaintenance() {
        long nowNanos = System.nanoTime();
        if (isOverdue(nowNanos) && connections.size() < MAX_CONNECTIONS) {
            log.info("watch: overdue, another connection is opened");
            connect();
        }
        for (WatchConnection connection : List.copyOf(connections)) {
            if (connection.isSilent(nowNanos)) {
                connection.fail("silent");
            }
        }
    }

    private boolean isOverdue(long nowNanos) {
        return !connections.isEmpty() && connections.get(connections.size() - 1).isOverdue(nowNanos, isPolling);
    }

    private void scheduleReconnect() {
        if (isPolling) {
            listener.onWatchFailed();
            return;
        }
        reconnect = loop.schedule(this::open, backoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
    }

    // --- callbacks of open connections

    EndpointListParser parser() {
        return parser;
    }

    ProxyLog log() {
        return log;
    }

    /** Handles a list or a blank line on a connection: closes all other connections. */
    void onMessage(WatchConnection live) {
        backoff.reset();
        for (WatchConnection other : List.copyOf(connections)) {
            if (other != live) {
                other.close();
                connections.remove(other);
            }
        }
    }

    /** Handles the end of a connection, and reopens the watch if no other connection is open. */
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

    /** Logs a malformed list; the last valid one stays in use, and changes since its version are requested again. */
    void onMalformedList(String reason) {
        malformedLists++;
        log.info("watch: malformed list, " + malformedLists + " so far: " + reason);
    }

    /** Handles a list; {@code isFirst} if no list or blank line has been received on its connection before. */
    void onList(EndpointRegistry.EndpointList list, boolean isFirst) {
        // A full list at the start of a watch is all that discovery knows, even if its versions have started over.
        boolean isNewBase = isFirst && list.full();
        if (list.version() < version && !isNewBase) {
            log.info("watch: outdated list ignored, version=" + list.version() + " present_version=" + version);
            return;
        }
        version = list.version();
        listener.onEndpointList(list.full() ? WatchEvent.FULL : WatchEvent.DELTA, list);
    }
}
