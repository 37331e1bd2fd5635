package rillyard.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import rillyard.admin.ProxyMetrics;
import rillyard.endpoints.EndpointListGuard;
import rillyard.proxy.admin.ProxyAdmin;
import rillyard.proxy.config.ConfigException;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.discovery.EndpointListOptions;
import rillyard.proxy.discovery.EndpointWatch;
import rillyard.proxy.dispatch.BalancerDriver;
import rillyard.proxy.dispatch.PeerGossip;
import rillyard.proxy.downstream.ClientListener;
import rillyard.proxy.eventloop.StallAwareIoHandler;
import rillyard.proxy.lifecycle.ConfigReload;
import rillyard.proxy.lifecycle.StartupTimeline;
import rillyard.proxy.lifecycle.Warmup;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.resources.BodyMemoryBudget;
import rillyard.proxy.resources.DescriptorBudget;
import rillyard.proxy.upstream.UpstreamPool;
import rillyard.stall.StallDetector;
import rillyard.trace.ProxyTrace;

/** One client proxy: all of it on one event loop thread, from its start to its drain. */
public final class ClientProxy {
    /** What the JVM takes of the memory limit besides bodies. */
    private static final long BASE_MB = 76;

    private static final long LEAST_BODIES_MB = 8;
    /** Bodies that are held are small; two processes may share the limit while one follows the other. */
    private static final long MOST_BODIES_MB = 48;

    private static final long SWEEP_MS = 250;

    /** After SIGTERM new connections come for 0.4 s at most; they are accepted for longer (ms). */
    private static final long ACCEPT_MS = 800;

    /** How long (ms) clients' idle connections stay open for a request that tells them to move. */
    private static final long MOVE_MS = 400;

    /** SIGKILL comes no sooner than the longest deadline and 0.7 s; the process needs some of that to end (ms). */
    private static final long LAST_MS = 550;

    /** The longest deadline (ms) for which SIGKILL waits. */
    private static final double LONGEST_MS = 3_000;

    /** The longest warm-up (ms): a slow core gets a half-warm proxy in time. */
    private static final long WARM_UP_MS = 2_000;

    /** So long (ms) before the end of its time a drain fails what it still holds, so that the answers get out. */
    private static final long TELL_MS = 100;

    private static final long POLL_MS = 10;

    private final ProxyConfig config;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final ClientListener listener;
    private final BalancerDriver driver;
    private final EndpointWatch endpointWatch;
    private final CountDownLatch ended = new CountDownLatch(1);
    private final ProxyLog log;
    private volatile ProxyAdmin admin;
    private InetSocketAddress adminAddress;
    private long drainUntil;
    private long acceptUntil;

    public ClientProxy(ProxyConfig config, ProxyLog log) {
        this(config, log, null, null);
    }

    /** {@code guard} is null where whole lists are always believed, {@code neighbours} where nobody brings news. */
    ClientProxy(ProxyConfig config, ProxyLog log, EndpointListGuard guard, PeerGossip neighbours) {
        this.config = config;
        this.log = log;
        StallDetector gaps = new StallDetector(System.nanoTime());
        this.group = newGroup(StallAwareIoHandler.factory(gaps, this::onStall));
        this.loop = (EventLoop) group.next();
        DescriptorBudget sockets = new DescriptorBudget(config.maxDescriptors());
        long bodies = Math.max(LEAST_BODIES_MB, Math.min(MOST_BODIES_MB, config.memoryMb() - BASE_MB));
        BodyMemoryBudget budget = new BodyMemoryBudget(bodies << 20);
        UpstreamPool upstreams = new UpstreamPool(group, config, sockets, log);
        this.driver = new BalancerDriver(loop, config, upstreams, budget, log, guard, neighbours);
        this.listener = new ClientListener(driver, config, sockets, budget, log, gaps);
        this.endpointWatch = new EndpointWatch(group, config, driver.endpoints(), driver, log);
    }

    /** One event loop on a thread of its own. */
    public static MultiThreadIoEventLoopGroup newGroup(IoHandlerFactory sockets) {
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("loop", true), sockets);
    }

    /** The loop or the process stood still: who has waited past their time is told first, then lists are read. */
    private void onStall(long nanos) {
        try {
            driver.endOverdueRequests(nanos);
            endpointWatch.readFirst();
        } catch (RuntimeException e) {
            log.error("what was overdue could not be ended", e); // the timers will
        }
    }

    /**
     * Runs a client proxy as the environment describes it, until SIGTERM has been carried out.
     *
     * @throws ConfigException if there is no configuration to run with
     */
    public static void run(Map<String, String> env) throws ConfigException {
        run(env, null);
    }

    /**
     * The same with news from other proxies.
     *
     * @param neighbours brings it; null where nobody does
     * @throws ConfigException if there is no configuration to run with
     */
    public static void run(Map<String, String> env, PeerGossip neighbours) throws ConfigException {
        begin(env, WARM_UP_MS, neighbours).awaitEnd();
    }

    /**
     * Starts one and returns once it is as ready as it gets within {@code warmUp} ms.
     *
     * @throws ConfigException if there is no configuration to run with
     */
    public static ClientProxy begin(Map<String, String> env, long warmUp, PeerGossip neighbours)
            throws ConfigException {
        StartupTimeline.at("main");
        // Netty would look for two other libraries first, in a jar that holds neither.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        ProxyConfig config = ProxyConfig.load(env);
        StartupTimeline.at("settings");
        ProxyTrace trace = Boolean.getBoolean(ProxyTrace.PROPERTY) ? new ProxyTrace(System.err) : null;
        ClientProxy proxy = new ClientProxy(
                config, new ProxyLog(System.err, trace), EndpointListOptions.guard(System.getProperties()), neighbours);
        // Before anything is taken: guards against a signal that finds it listening and without a drain.
        // An exit by SIGTERM is status 143 to the JVM, and a drain that is done is a success.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            proxy.drain();
                            proxy.awaitEnd();
                            Runtime.getRuntime().halt(0);
                        },
                        "drain"));
        StartupTimeline.at("loop");
        proxy.listener.setWarmingUp(true);
        proxy.startAdmin(env);
        proxy.watch();
        // Guards against requests that meet cold code while a process that is warm takes them all. One
        // that has nobody before it listens at once: a slow answer is better than none.
        boolean follows = proxy.hasPredecessor();
        if (!follows) {
            proxy.listen();
        }
        StartupTimeline.at("listening");
        ConfigReload.onHangUp(env, proxy, proxy.log);
        StartupTimeline.at("warm-up");
        try {
            new Warmup(config).run(warmUp);
        } catch (Exception e) {
            proxy.log.error("the warm-up failed", e); // a cold proxy serves too
        }
        if (follows) {
            proxy.listen();
        }
        proxy.onReady();
        StartupTimeline.at("ready");
        return proxy;
    }

    /** Listens and starts the watch. */
    public void start() throws ConfigException {
        watch();
        listen();
    }

    private void watch() throws ConfigException {
        try {
            loop.submit(() -> endpointWatch.start(config.cachedEndpoints())).sync();
        } catch (Exception e) {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
            throw new ConfigException("can't start: " + e);
        }
        loop.scheduleAtFixedRate(this::runMaintenance, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    private void listen() throws ConfigException {
        try {
            listener.listen(group, config);
        } catch (Exception e) {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
            if (e instanceof BindException || e instanceof SocketException) {
                throw new ConfigException("can't listen on " + config.listen() + ": " + e.getMessage());
            }
            throw new ConfigException("can't listen: " + e);
        }
    }

    /** Opens the second address, where one is configured. */
    void startAdmin(Map<String, String> env) throws ConfigException {
        if (config.adminAddress() == null) {
            return;
        }
        try {
            ProxyAdmin admin = new ProxyAdmin(ProxyAdmin.folder(env, config), loop, listener, driver, log);
            adminAddress = admin.start(config.adminAddress());
            this.admin = admin;
        } catch (Exception e) {
            throw new ConfigException("can't listen for operators on " + config.adminAddress() + ": " + e);
        }
    }

    private boolean hasPredecessor() {
        return admin != null && admin.hasPredecessor();
    }

    /** It is as ready as it gets: says so, to whom it concerns. */
    void onReady() {
        listener.setWarmingUp(false);
        loop.execute(this::runMaintenance);
        try {
            if (admin != null) {
                admin.serving();
            }
        } catch (IOException e) {
            log.error("a process before this one can't be told", e);
        }
    }

    /** The second address, null where there is none. */
    public InetSocketAddress adminAddress() {
        return adminAddress;
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.serverChannel().localAddress();
    }

    /** Connections of clients that are open; to be asked on the loop. */
    int clientConnections() {
        return listener.openConnections();
    }

    /** Requests that are not over, or whose attempts are not; to be asked on the loop. */
    int openRequests() {
        return driver.openRequests();
    }

    /** Connections to hosts that are open or come up; to be asked on the loop. */
    int hostConnections() {
        return listener.descriptors().upstreamConnections();
    }

    ProxyMetrics metrics() {
        return driver.metrics();
    }

    EventLoop loop() {
        return loop;
    }

    private void runMaintenance() {
        try {
            driver.runMaintenance();
            listener.runMaintenance();
            endpointWatch.runMaintenance();
        } catch (RuntimeException e) {
            // Guards against a periodic task that ends for ever with its first exception.
            log.error("upkeep failed", e);
        }
    }

    /** Takes over what of a new configuration may change while requests are under way. */
    public void reload(ProxyConfig fresh) {
        loop.execute(() -> endpointWatch.moveTo(fresh.discovery()));
    }

    /** Begins the end: all that was taken is answered, then the process may go. */
    void drain() {
        loop.execute(() -> {
            double longest = 0;
            for (var requestClass : config.settings().classes()) {
                longest = Math.max(longest, requestClass.deadline());
            }
            long now = System.nanoTime();
            boolean succeeded = admin != null && admin.hasSuccessor();
            acceptUntil = now + (succeeded ? MOVE_MS : ACCEPT_MS) * 1_000_000;
            drainUntil = now + (long) ((Math.min(longest, LONGEST_MS) + LAST_MS) * 1e6);
            log.info(succeeded ? "draining: a successor serves" : "draining");
            if (succeeded) {
                listener.closeServerChannel();
                listener.requestClientMigration();
            } else {
                listener.drain();
            }
            pollDrain();
        });
    }

    private void pollDrain() {
        long now = System.nanoTime();
        if (now >= acceptUntil) {
            // Guards against a request that comes on a connection, new since the drain began and idle so
            // far, in the moment in which the process ends: its client is told first that it is over.
            listener.drain();
        }
        if (now >= drainUntil - TELL_MS * 1_000_000) {
            // Guards against requests that came late in the drain and end unanswered with the process.
            driver.failOpenRequests();
        }
        boolean done = now >= acceptUntil && !listener.isBusy();
        if (done) {
            // Guards against the same of connections that came while this process stood still, and wait unaccepted.
            listener.closeServerChannel();
            listener.drain();
            done = !listener.isBusy();
        }
        if (done || now >= drainUntil) {
            log.info(done ? "drained" : "drain cut short by its time");
            listener.closeServerChannel();
            ended.countDown();
        } else {
            loop.schedule(this::pollDrain, POLL_MS, TimeUnit.MILLISECONDS);
        }
    }

    void awaitEnd() {
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the loop at once. */
    public void stop() {
        try {
            if (admin != null) {
                admin.close();
            }
        } catch (IOException e) {
            log.error("the second address did not close", e);
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
        ended.countDown();
    }
}
