package rillyard.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import rillyard.admin.ProxyMetrics;
import rillyard.balancer.Settings;
import rillyard.endpoints.EndpointListGuard;
import rillyard.proxy.admin.ProxyAdmin;
import rillyard.proxy.config.ConfigException;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.discovery.EndpointWatch;
import rillyard.proxy.dispatch.BalancerDriver;
import rillyard.proxy.dispatch.PeerGossip;
import rillyard.proxy.downstream.ClientListener;
import rillyard.proxy.eventloop.SocketChannelFactory;
import rillyard.proxy.eventloop.StallAwareIoHandler;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.resources.BodyMemoryBudget;
import rillyard.proxy.resources.DescriptorBudget;
import rillyard.proxy.upstream.UpstreamPool;
import rillyard.stall.StallDetector;

/**
 * A client proxy: composes its parts, which all run on one event loop thread, and starts, drains and stops them.
 *
 * <p>Methods may be called on any thread unless they say otherwise.
 */
public final class ClientProxy {
    /** Part of the memory limit (MB) that the JVM takes besides bodies. */
    private static final long BASE_MEMORY_MB = 76;

    private static final long MIN_BODY_MEMORY_MB = 8;

    /** Buffered bodies are small, and two processes may share the limit while one follows the other. */
    private static final long MAX_BODY_MEMORY_MB = 48;

    private static final int MEGABYTE_SHIFT = 20;
    private static final long MAINTENANCE_INTERVAL_MILLIS = 250;

    private final ProxyConfig config;
    private final ProxyLog log;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final SocketChannelFactory channels;
    private final BalancerDriver driver;
    private final ClientListener listener;
    private final EndpointWatch endpointWatch;
    private final DrainController drainController;
    private volatile ProxyAdmin admin;
    private InetSocketAddress adminAddress;

    /** Creates a proxy that believes all endpoint lists and has no gossip with others; nothing is started. */
    public ClientProxy(ProxyConfig config, ProxyLog log) {
        this(config, log, null, null);
    }

    /**
     * Creates a proxy; nothing is started.
     *
     * @param guard null where full endpoint lists are always believed
     * @param peerGossip null where there is none
     */
    public ClientProxy(ProxyConfig config, ProxyLog log, EndpointListGuard guard, PeerGossip peerGossip) {
        this(config, log, guard, peerGossip, new SocketChannelFactory());
    }

    /** Creates a proxy whose channels come from {@code channels}; nothing is started. */
    public ClientProxy(
            ProxyConfig config,
            ProxyLog log,
            EndpointListGuard guard,
            PeerGossip peerGossip,
            SocketChannelFactory channels) {
        this.config = config;
        this.log = log;
        this.channels = channels;
        StallDetector stallDetector = new StallDetector(System.nanoTime());
        this.group = newGroup(StallAwareIoHandler.factory(stallDetector, this::onStall));
        this.loop = (EventLoop) group.next();
        DescriptorBudget descriptors = new DescriptorBudget(config.maxDescriptors());
        BodyMemoryBudget bodyMemory = new BodyMemoryBudget(bodyMemoryMb(config) << MEGABYTE_SHIFT);
        UpstreamPool upstreams = new UpstreamPool(group, channels, config, descriptors, log);
        this.driver = new BalancerDriver(loop, config, upstreams, bodyMemory, log, guard, peerGossip);
        this.listener = new ClientListener(driver, config, descriptors, bodyMemory, log, stallDetector);
        this.endpointWatch = new EndpointWatch(group, channels, config, driver.endpoints(), driver, log);
        this.drainController = new DrainController(loop, listener, driver, log, longestDeadline(config));
    }

    private static long bodyMemoryMb(ProxyConfig config) {
        return Math.max(MIN_BODY_MEMORY_MB, Math.min(MAX_BODY_MEMORY_MB, config.memoryMb() - BASE_MEMORY_MB));
    }

    private static double longestDeadline(ProxyConfig config) {
        double longest = 0;
        for (Settings.RequestClass requestClass : config.settings().classes()) {
            longest = Math.max(longest, requestClass.deadlineMillis());
        }
        return longest;
    }

    /** Creates an event loop on a daemon thread of its own. */
    public static MultiThreadIoEventLoopGroup newGroup(IoHandlerFactory ioHandlers) {
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("loop", true), ioHandlers);
    }

    // --- start

    /**
     * Starts the endpoint watch and listens.
     *
     * @throws ConfigException if the proxy can't be started as configured
     */
    public void start() throws ConfigException {
        startWatch();
        listen();
    }

    /**
     * Starts the endpoint watch and the periodic maintenance.
     *
     * @throws ConfigException if the watch can't be started as configured
     */
    public void startWatch() throws ConfigException {
        try {
            loop.submit(() -> endpointWatch.start(config.cachedEndpoints())).sync();
        } catch (Exception e) {
            stopGroup();
            throw new ConfigException("can't start: " + e);
        }
        loop.scheduleAtFixedRate(
                this::runMaintenance, MAINTENANCE_INTERVAL_MILLIS, MAINTENANCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Listens for clients.
     *
     * @throws ConfigException if the configured address can't be bound
     */
    public void listen() throws ConfigException {
        try {
            listener.listen(group, channels, config);
        } catch (Exception e) {
            stopGroup();
            if (e instanceof BindException || e instanceof SocketException) {
                throw new ConfigException("can't listen on " + config.listen() + ": " + e.getMessage());
            }
            throw new ConfigException("can't listen: " + e);
        }
    }

    /**
     * Opens the admin address, if one is configured.
     *
     * @param env environment of the process, for the directory of temporary files
     * @throws ConfigException if the address can't be bound or the directory not be used
     */
    public void startAdmin(Map<String, String> env) throws ConfigException {
        if (config.adminAddress() == null) {
            return;
        }
        try {
            ProxyAdmin started =
                    new ProxyAdmin(ProxyAdmin.hotRestartDirectory(env, config), loop, listener, driver, log);
            adminAddress = started.start(config.adminAddress());
            admin = started;
        } catch (Exception e) {
            throw new ConfigException("can't listen for operators on " + config.adminAddress() + ": " + e);
        }
    }

    /** Returns whether another process serves the same address; false where there is no admin address. */
    public boolean hasPredecessor() {
        return admin != null && admin.hasPredecessor();
    }

    /** Reports the proxy as not ready until {@link #onReady}; requests are served all the same. */
    public void setWarmingUp() {
        listener.setWarmingUp(true);
    }

    /** The warm-up has ended: reports the proxy as ready and tells a predecessor that it may go. */
    public void onReady() {
        listener.setWarmingUp(false);
        loop.execute(this::runMaintenance);
        try {
            if (admin != null) {
                admin.onListening();
            }
        } catch (IOException e) {
            log.error("proxy: predecessor not notified", e);
        }
    }

    /** Takes over what of a new configuration may change while requests are executed: the discovery address. */
    public void reload(ProxyConfig newConfig) {
        loop.execute(() -> endpointWatch.moveTo(newConfig.discovery()));
    }

    // --- on the loop

    private void onStall(long stallNanos) {
        try {
            driver.endOverdueRequests(stallNanos); // before anything new is read
            endpointWatch.readPending();
        } catch (RuntimeException | Error e) {
            log.error("loop: stall not handled", e); // timers end what is overdue
        }
    }

    private void runMaintenance() {
        maintain(driver::runMaintenance);
        maintain(listener::runMaintenance);
        maintain(endpointWatch::runMaintenance);
    }

    /** Runs a part of the maintenance; were a failure thrown, neither the other parts nor this one would run again. */
    private void maintain(Runnable part) {
        try {
            part.run();
        } catch (RuntimeException | Error e) {
            log.error("proxy: maintenance failed", e);
        }
    }

    // --- end

    /** Starts to drain: what was received is answered, then {@link #awaitEnd} returns. */
    public void drain() {
        loop.execute(() -> drainController.start(admin != null && admin.hasSuccessor()));
    }

    /** Waits until the proxy has been drained or stopped; an interrupt ends the wait. */
    public void awaitEnd() {
        drainController.awaitEnd();
    }

    /** Stops at once, and closes all connections. */
    public void stop() {
        try {
            if (admin != null) {
                admin.close();
            }
        } catch (IOException e) {
            log.error("admin: close failed", e);
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        drainController.markEnded();
    }

    private void stopGroup() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    // --- state

    /** Returns the address that clients connect to; only after {@link #listen}. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.serverChannel().localAddress();
    }

    /** Returns the admin address, null if there is none. */
    public InetSocketAddress adminAddress() {
        return adminAddress;
    }

    /** Returns the number of open client connections; only on the loop. */
    int clientConnections() {
        return listener.openConnections();
    }

    /** Returns the number of requests that have not ended, or whose attempts have not; only on the loop. */
    int openRequests() {
        return driver.openRequests();
    }

    /** Returns the number of connections to hosts that are open or come up; only on the loop. */
    int hostConnections() {
        return listener.descriptors().upstreamConnections();
    }

    ProxyMetrics metrics() {
        return driver.metrics();
    }

    ClientListener listener() {
        return listener;
    }

    EventLoop loop() {
        return loop;
    }
}
