package rillyard.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import rillyard.admin.ProxyMetrics;
import rillyard.balancer.Settings;
import rillyard.endpoints.EndpointListGuard;
import rillyard.hotrestart.RequestIdTable;
import rillyard.proxy.admin.ProxyAdmin;
import rillyard.proxy.config.ConfigException;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.discovery.EndpointWatch;
import rillyard.proxy.dispatch.BalancerDriver;
import rillyard.proxy.dispatch.PeerGossip;
import rillyard.proxy.downstream.ClientListener;
import rillyard.proxy.eventloop.EventLoops;
import rillyard.proxy.eventloop.ReadScheduler;
import rillyard.proxy.eventloop.SocketChannelFactory;
import rillyard.proxy.eventloop.StallAwareIoHandler;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.resources.BodyMemoryBudget;
import rillyard.proxy.resources.DescriptorBudget;
import rillyard.proxy.resources.HeaderMemoryBudget;
import rillyard.proxy.upstream.UpstreamPool;
import rillyard.stall.StallDetector;

/**
 * A client proxy. It creates its components, which all run on one event loop thread, and starts, drains and stops them.
 *
 * <p>Methods may be called on any thread unless they say otherwise.
 */
public final class ClientProxy {
    /** Part of the memory limit (MB) that a process uses for other things than buffered bodies, its heap included. */
    private static final long BASE_MEMORY_MB = 90;

    private static final long MIN_BODY_MEMORY_MB = 8;

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
    private volatile Runnable loopFailureHandler = () -> {};
    private volatile boolean stopping;
    private InetSocketAddress adminAddress;

    /**
     * Creates a proxy that applies every endpoint list as it is and doesn't gossip with other proxies; nothing is
     * started.
     */
    public ClientProxy(ProxyConfig config, ProxyLog log) {
        this(config, log, null, null);
    }

    /**
     * Creates a proxy; nothing is started.
     *
     * @param guard retains hosts that an implausible full endpoint list lacks; null to apply every list as it is
     * @param peerGossip exchanges observations with other proxies; null for none
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
        this.group = EventLoops.newGroup(StallAwareIoHandler.factory(stallDetector, this::onStall), this::onLoopEnded);
        this.loop = (EventLoop) group.next();
        DescriptorBudget descriptors = new DescriptorBudget(config.maxDescriptors());
        BodyMemoryBudget bodyMemory = new BodyMemoryBudget(bodyMemoryMb(config) << MEGABYTE_SHIFT);
        HeaderMemoryBudget headerMemory = HeaderMemoryBudget.ofHeap();
        ReadScheduler readScheduler = new ReadScheduler(stallDetector);
        UpstreamPool upstreams =
                new UpstreamPool(group, channels, config, descriptors, headerMemory, readScheduler, log);
        this.driver = new BalancerDriver(loop, config, upstreams, bodyMemory, log, guard, peerGossip);
        this.listener = new ClientListener(driver, config, descriptors, bodyMemory, headerMemory, log, readScheduler);
        this.endpointWatch = new EndpointWatch(group, channels, config, driver.endpoints(), driver, log);
        this.drainController = new DrainController(loop, listener, driver, log, longestDeadlineMillis(config));
    }

    /** Returns the memory for bodies; two processes share the limit where one can replace the other. */
    private static long bodyMemoryMb(ProxyConfig config) {
        int processes = config.adminAddress() == null ? 1 : 2;
        long availableMb = config.memoryMb() / processes - BASE_MEMORY_MB;
        return Math.max(MIN_BODY_MEMORY_MB, Math.min(MAX_BODY_MEMORY_MB, availableMb));
    }

    private static double longestDeadlineMillis(ProxyConfig config) {
        double longestMillis = 0;
        for (Settings.RequestClass requestClass : config.settings().classes()) {
            longestMillis = Math.max(longestMillis, requestClass.deadlineMillis());
        }
        return longestMillis;
    }

    // --- start

    /**
     * Starts the endpoint watch and listens for clients.
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
            throw new ConfigException("can't start the endpoint watch: " + e);
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
            log.info("listener: listening, address=" + config.listen().getHostString() + ":"
                    + address().getPort());
        } catch (Exception e) {
            stopGroup();
            if (e instanceof BindException || e instanceof SocketException) {
                throw new ConfigException("can't listen on " + config.listen() + ": " + e.getMessage());
            }
            throw new ConfigException("can't listen: " + e);
        }
    }

    /**
     * Starts the admin endpoint, if its address is configured.
     *
     * @param env environment of the process, for the directory of temporary files
     * @throws ConfigException if the address can't be bound or the directory can't be used
     */
    public void startAdmin(Map<String, String> env) throws ConfigException {
        if (config.adminAddress() == null) {
            return;
        }
        try {
            Path directory = ProxyAdmin.hotRestartDirectory(env, config);
            RequestIdTable requestIds = RequestIdTable.shared(directory);
            loop.submit(() -> driver.shareRequestIds(requestIds)).sync();
            ProxyAdmin started = new ProxyAdmin(directory, loop, listener, driver, log);
            adminAddress = started.start(config.adminAddress());
            admin = started;
        } catch (Exception e) {
            throw new ConfigException("can't start the admin endpoint on " + config.adminAddress() + ": " + e);
        }
    }

    /** Returns whether another process of this proxy serves the same address; false without an admin address. */
    public boolean hasPredecessor() {
        return admin != null && admin.hasPredecessor();
    }

    /** Reports the proxy as not ready until {@link #onReady}; requests are served nevertheless. */
    public void setWarmingUp() {
        listener.setWarmingUp(true);
    }

    /** Ends the warm-up: reports the proxy as ready and signals a predecessor that it can shut down. */
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

    /** Applies the one setting of a new configuration that can change at run time: the discovery address. */
    public void reload(ProxyConfig newConfig) {
        loop.execute(() -> endpointWatch.moveTo(newConfig.discovery()));
    }

    // --- event loop tasks

    private void onStall(long stallNanos) {
        try {
            driver.endOverdueRequests(stallNanos); // before new input is read
            endpointWatch.readPending();
        } catch (RuntimeException | Error e) {
            log.error("loop: stall not handled", e); // the timers of overdue requests end them
        }
    }

    private void runMaintenance() {
        runMaintenanceTask(driver::runMaintenance);
        runMaintenanceTask(listener::runMaintenance);
        runMaintenanceTask(endpointWatch::runMaintenance);
    }

    /** Runs one task and logs its failure; an exception would end the periodic maintenance of all components. */
    private void runMaintenanceTask(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            log.error("proxy: maintenance failed", e);
        }
    }

    // --- drain and stop

    /** Starts to drain: open requests get their responses, then {@link #awaitEnd} returns. */
    public void drain() {
        try {
            loop.execute(() -> drainController.start(admin != null && admin.hasSuccessor()));
        } catch (RejectedExecutionException e) {
            log.info("proxy: not drained, cause=the event loop has ended");
        }
    }

    /**
     * Waits until the proxy has been drained or its event loop has ended; an interrupt ends the wait.
     *
     * @return whether it has been drained
     */
    public boolean awaitEnd() {
        return drainController.awaitEnd();
    }

    /**
     * Sets what runs when the event loop ends by a failure, after which the proxy can't serve any more. It runs on the
     * loop's thread, maybe without free heap.
     */
    public void onLoopFailure(Runnable handler) {
        loopFailureHandler = handler;
    }

    private void onLoopEnded() {
        try {
            if (!stopping) {
                loopFailureHandler.run();
            }
        } finally {
            drainController.onLoopEnded();
        }
    }

    /** Stops immediately and closes all connections. */
    public void stop() {
        try {
            if (admin != null) {
                admin.close();
            }
        } catch (IOException e) {
            log.error("admin: close failed", e);
        }
        stopping = true;
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        drainController.onLoopEnded();
    }

    private void stopGroup() {
        stopping = true;
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

    /** Returns the number of open client connections; only on the event loop. */
    int clientConnections() {
        return listener.openConnections();
    }

    /** Returns the number of requests that have not ended, or whose attempts have not; only on the event loop. */
    int openRequests() {
        return driver.openRequests();
    }

    /** Returns the number of connections to hosts, open or being established; only on the event loop. */
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
