package rillyard.testserver;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import rillyard.requestlog.HostEvent;
import rillyard.requestlog.RequestLogWriter;
import rillyard.requestlog.UnixClock;
import rillyard.scheduling.EventLoops;

/**
 * Runs simulated hosts, discovery and the fault control endpoint in this process until it is closed.
 *
 * <p>{@link #start}, {@link #startFaultSchedule} and {@link #close} are called by the owner's thread, never on an
 * event loop; {@link #begin} may be called from any thread once the cluster has started.
 */
public final class TestCluster implements AutoCloseable {
    /** Number of request ids whose attempts are counted; the oldest are evicted. */
    private static final int MAX_TRACKED_REQUEST_IDS = 65_536;

    /** How long a stopping host waits for requests in flight. */
    private static final long STOP_TIMEOUT_MILLIS = 5_000;

    /** Interval at which a stopping host checks for requests in flight. */
    private static final long STOP_POLL_MILLIS = 10;

    private final TestClusterPlan plan;
    private final RequestLogWriter requestLog;
    private final AdvertisedAddresses advertisedAddresses;
    private final PrintStream errors;
    private final InetSocketAddress listen;
    private final EventLoopGroup loops;
    private final EventLoopGroup controlLoops = EventLoops.group(1, "stand-in-control");
    private final Map<String, RequestClassSpec> requestClasses = new HashMap<>();
    private final Map<String, HostServer> hosts = new ConcurrentHashMap<>();
    private final Map<String, IdempotencyKeyStore> keyStores = new ConcurrentHashMap<>();
    private final Map<String, Integer> attemptCounts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MAX_TRACKED_REQUEST_IDS;
        }
    };
    private final SplittableRandom seeds;
    private final HostContext hostContext = new ClusterContext();
    private DiscoveryServer discovery;
    private InetSocketAddress discoveryAddress;
    private InetSocketAddress controlAddress;
    private volatile boolean closed;
    private int replacementCount;

    /**
     * Creates a cluster whose hosts advertise their own addresses; nothing is opened yet.
     *
     * @param listen address of discovery; hosts and fault control use free ports of the same IP address
     * @param threads number of event loops for the hosts
     * @param requestLog where hosts log executions and events; stays open when the cluster is closed
     * @param errors where internal errors are printed
     */
    public TestCluster(
            TestClusterPlan plan,
            InetSocketAddress listen,
            int threads,
            RequestLogWriter requestLog,
            PrintStream errors) {
        this(plan, listen, threads, requestLog, errors, AdvertisedAddresses.UNCHANGED);
    }

    /**
     * Creates a cluster as the other constructor does, with addresses advertised as {@code advertisedAddresses} maps
     * them.
     */
    public TestCluster(
            TestClusterPlan plan,
            InetSocketAddress listen,
            int threads,
            RequestLogWriter requestLog,
            PrintStream errors,
            AdvertisedAddresses advertisedAddresses) {
        this.plan = plan;
        this.advertisedAddresses = advertisedAddresses;
        this.listen = listen;
        this.requestLog = requestLog;
        this.errors = errors;
        this.loops = EventLoops.group(threads, "stand-in");
        this.seeds = new SplittableRandom(plan.seed());
        plan.classes().forEach(spec -> requestClasses.put(spec.name(), spec));
    }

    /**
     * Opens hosts, discovery and fault control. The fault schedule does not run yet.
     *
     * @throws Exception if a bind fails; everything opened before is closed then
     */
    public void start() throws Exception {
        try {
            InetSocketAddress anyPort = new InetSocketAddress(listen.getAddress(), 0);
            List<EndpointCatalog.Entry> entries = new ArrayList<>();
            for (HostSpec hostSpec : plan.hosts()) {
                HostServer hostServer = createHost(hostSpec, loops.next());
                hostServer.start(anyPort, hostSpec.startsWarmingUp());
                entries.add(entry(hostServer, "up", hostSpec.startsWarmingUp()));
            }
            discovery = new DiscoveryServer(
                    controlLoops.next(), new EndpointCatalog(entries), requestLog, advertisedAddresses);
            discoveryAddress = discovery.start(listen);
            controlAddress = new FaultControlServer(this).start(controlLoops, anyPort);
        } catch (Exception e) {
            close();
            throw e;
        }
    }

    /** Starts the fault schedule: start times of faults count from this call. */
    public void startFaultSchedule() {
        plan.faults().forEach(this::scheduleFault);
    }

    private HostServer createHost(HostSpec host, EventLoop loop) {
        HostServer hostServer = new HostServer(host, loop, hostContext, seeds.nextLong());
        hosts.put(host.id(), hostServer);
        return hostServer;
    }

    private void scheduleFault(HostFault fault) {
        controlLoops
                .next()
                .schedule(() -> beginScheduled(fault), (long) (fault.startMillis() * 1e6), TimeUnit.NANOSECONDS);
    }

    private void beginScheduled(HostFault fault) {
        begin(fault).addListener((Future<Object> begun) -> {
            if (!begun.isSuccess()) {
                errors.println("rillyard: the fault " + fault.description() + " did not begin: "
                        + begun.cause().getMessage());
            }
        });
    }

    /**
     * Begins a fault now, whatever its start time.
     *
     * @return completes when the fault has begun, on the event loop of its host or of discovery, so that everything
     *     read there later is affected; fails with {@link IllegalArgumentException} if there is no such host
     */
    public Future<?> begin(HostFault fault) {
        if (fault.kind().isDiscoveryFault()) {
            return discovery.loop().submit(() -> beginDiscoveryFault(fault));
        }
        HostServer host = hosts.get(fault.host());
        return host == null
                ? controlLoops.next().newFailedFuture(new IllegalArgumentException("no host '" + fault.host() + "'"))
                : host.loop().submit(() -> host.begin(fault));
    }

    private void beginDiscoveryFault(HostFault fault) {
        logDiscoveryEvent(HostEvent.Kind.FAULT, fault);
        discovery.setFault(fault.kind(), true);
        if (fault.durationMillis() > 0) {
            discovery
                    .loop()
                    .schedule(
                            () -> {
                                discovery.setFault(fault.kind(), false);
                                logDiscoveryEvent(HostEvent.Kind.FAULT_ENDED, fault);
                            },
                            (long) (fault.durationMillis() * 1e6),
                            TimeUnit.NANOSECONDS);
        }
    }

    private void logDiscoveryEvent(HostEvent.Kind kind, HostFault fault) {
        requestLog.append(new HostEvent(UnixClock.micros(), "discovery", kind, fault.description()));
    }

    private static EndpointCatalog.Entry entry(HostServer host, String state, boolean started) {
        InetSocketAddress address = host.address();
        return new EndpointCatalog.Entry(
                host.spec,
                address.getAddress().getHostAddress() + ":" + address.getPort(),
                state,
                started ? System.currentTimeMillis() : 0);
    }

    /**
     * Publishes a host's state in discovery after the plan's discovery delay.
     *
     * @param started whether the host has just started, so that its start time changes
     */
    private void announce(HostServer host, String state, boolean started) {
        EndpointCatalog.Entry entry = entry(host, state, started);
        discovery
                .loop()
                .schedule(
                        () -> {
                            EndpointCatalog.Entry previous =
                                    discovery.get(entry.spec().id());
                            long startedMillis =
                                    started || previous == null ? entry.startedMillis() : previous.startedMillis();
                            discovery.change(
                                    new EndpointCatalog.Entry(entry.spec(), entry.address(), state, startedMillis));
                        },
                        (long) (plan.discoveryDelayMillis() * 1e6),
                        TimeUnit.NANOSECONDS);
    }

    private void stopWhenIdle(HostServer host, HostFault fault, long deadlineNanos) {
        if (!host.isUp()) {
            return;
        }
        host.closeIdle();
        if (host.isBusy() && host.scheduler.now() < deadlineNanos) {
            host.scheduler.scheduleAfter(STOP_POLL_MILLIS * 1_000_000, () -> stopWhenIdle(host, fault, deadlineNanos));
            return;
        }
        host.stop(HostEvent.Kind.STOPPED);
        hostContext.onStopped(host, fault);
    }

    private void replace(HostServer hostServer, HostFault fault) {
        if (closed) {
            return;
        }
        if (!fault.newId()) {
            hostServer.restart(hostServer.address());
            return;
        }
        String id;
        synchronized (this) {
            id = hostServer.spec.id().replaceFirst("\\+\\d+$", "") + "+" + ++replacementCount;
        }
        hosts.remove(hostServer.spec.id());
        createHost(hostServer.spec.withId(id), hostServer.loop()).restart(hostServer.address());
    }

    /** Returns the address that discovery listens on, or null before {@link #start}. */
    public InetSocketAddress discoveryAddress() {
        return discoveryAddress;
    }

    /** Returns the address of the fault control endpoint, or null before {@link #start}. */
    public InetSocketAddress controlAddress() {
        return controlAddress;
    }

    /** Returns the plan that this cluster runs. */
    public TestClusterPlan plan() {
        return plan;
    }

    /** Returns the host of this id, or null if there is none. */
    HostServer host(String id) {
        return hosts.get(id);
    }

    /** Returns a host's address, or null if there is no such host. */
    public InetSocketAddress address(String id) {
        HostServer hostServer = host(id);
        return hostServer == null ? null : hostServer.address();
    }

    /**
     * Returns a proxy configuration for these hosts, with {@code hosts} and {@code control} added: the content of the
     * file that {@code --ready-file} names.
     */
    public ObjectNode readyFile() {
        List<EndpointCatalog.Entry> entries = new ArrayList<>();
        for (HostSpec host : plan.hosts()) {
            HostServer hostServer = hosts.get(host.id());
            if (hostServer != null) {
                entries.add(entry(hostServer, "up", false));
            }
        }
        return ReadyFile.of(plan, entries, discoveryAddress, controlAddress);
    }

    /** Stops all hosts, logs the requests that have not ended, and closes all ports. The request log stays open. */
    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        for (HostServer host : hosts.values()) {
            host.loop().submit(() -> host.stop(HostEvent.Kind.STOPPED)).syncUninterruptibly();
        }
        loops.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
        controlLoops.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
        requestLog.flush();
    }

    /** Gives hosts access to the cluster. Thread-safe, as hosts run on several event loops. */
    private final class ClusterContext implements HostContext {
        @Override
        public TestClusterPlan plan() {
            return plan;
        }

        @Override
        public RequestLogWriter requestLog() {
            return requestLog;
        }

        @Override
        public RequestClassSpec requestClass(String name) {
            return requestClasses.get(name);
        }

        @Override
        public IdempotencyKeyStore idempotencyKeys(RequestClassSpec requestClass, HostSpec host) {
            String group =
                    switch (requestClass.scope()) {
                        case ALL -> "";
                        case ZONE -> host.zone();
                        case CELL -> Long.toString(host.cell());
                    };
            return keyStores.computeIfAbsent(
                    requestClass.name() + "/" + group,
                    key -> new IdempotencyKeyStore((long) (requestClass.idempotencyWindowMillis() * 1e6)));
        }

        @Override
        public int nextAttemptNumber(String id) {
            synchronized (attemptCounts) {
                return attemptCounts.merge(id, 1, Integer::sum) - 1;
            }
        }

        @Override
        public void onDraining(HostServer host, HostFault fault) {
            requestLog.append(new HostEvent(UnixClock.micros(), host.spec.id(), HostEvent.Kind.DRAINING, null));
            announce(host, "draining", false);
            host.scheduler.scheduleAfter(
                    (long) (fault.durationMillis() * 1e6),
                    () -> stopWhenIdle(host, fault, host.scheduler.now() + STOP_TIMEOUT_MILLIS * 1_000_000));
        }

        @Override
        public void onStopped(HostServer host, HostFault fault) {
            announce(host, "removed", false);
            if (fault.restartMillis() >= 0) {
                host.scheduler.scheduleAfter((long) (fault.restartMillis() * 1e6), () -> replace(host, fault));
            }
        }

        @Override
        public void onRestarted(HostServer host) {
            announce(host, "up", true);
        }

        @Override
        public void onFailure(String message, Throwable cause) {
            errors.println("rillyard: " + message);
            cause.printStackTrace(errors);
        }
    }
}
