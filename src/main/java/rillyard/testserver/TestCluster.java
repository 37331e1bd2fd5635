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

/** Hosts, discovery and a control port, all in this process, until it is closed. */
public final class TestCluster implements AutoCloseable {
    /** Ids whose attempts are counted; the oldest make room. */
    private static final int MAX_TRACKED_REQUEST_IDS = 65_536;

    /** How long a host that stops waits for what it has (ms), and how often it looks. */
    private static final long STOP_TIMEOUT_MILLIS = 5_000;

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
     * Makes one; nothing is opened yet.
     *
     * @param listen where discovery listens; hosts and the control port have free ports of that address
     * @param threads event loops for the hosts
     * @param errors where failures of our own code go
     */
    public TestCluster(
            TestClusterPlan plan,
            InetSocketAddress listen,
            int threads,
            RequestLogWriter requestLog,
            PrintStream errors) {
        this(plan, listen, threads, requestLog, errors, AdvertisedAddresses.UNCHANGED);
    }

    /** As above, with addresses told to each caller as {@code view} has them. */
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
     * Opens all; nothing goes wrong yet.
     *
     * @throws Exception what a bind throws; what was opened is closed then
     */
    public void start() throws Exception {
        try {
            InetSocketAddress anyPort = new InetSocketAddress(listen.getAddress(), 0);
            List<EndpointCatalog.Entry> entries = new ArrayList<>();
            for (HostSpec hostSpec : plan.hosts()) {
                HostServer hostServer = host(hostSpec, loops.next());
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

    /** Has the fault schedule begin now. */
    public void startFaultSchedule() {
        plan.faults().forEach(this::plan);
    }

    private HostServer host(HostSpec host, EventLoop loop) {
        HostServer hostServer = new HostServer(host, loop, hostContext, seeds.nextLong());
        hosts.put(host.id(), hostServer);
        return hostServer;
    }

    private void plan(HostFault fault) {
        controlLoops
                .next()
                .schedule(() -> beginScheduled(fault), (long) (fault.startMillis() * 1e6), TimeUnit.NANOSECONDS);
    }

    private void beginScheduled(HostFault fault) {
        begin(fault).addListener((Future<Object> begun) -> {
            if (!begun.isSuccess()) {
                errors.println("rillyard: the fault " + fault.description() + " has not begun: "
                        + begun.cause().getMessage());
            }
        });
    }

    /**
     * Has something go wrong now, whatever its time says.
     *
     * @return done once it has begun, on the loop of its host or of discovery: what is read there later
     *     meets it. Fails with {@link IllegalArgumentException} if there is no such host
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

    /** Has discovery hear of a host's state after its notice. */
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

    private void stop(HostServer host, HostFault fault, long deadline) {
        if (!host.isUp()) {
            return;
        }
        host.closeIdle();
        if (host.isBusy() && host.scheduler.now() < deadline) {
            host.scheduler.scheduleAfter(STOP_POLL_MILLIS * 1_000_000, () -> stop(host, fault, deadline));
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
        host(hostServer.spec.withId(id), hostServer.loop()).restart(hostServer.address());
    }

    /** Where discovery listens. */
    public InetSocketAddress discoveryAddress() {
        return discoveryAddress;
    }

    /** Where faults can be asked for. */
    public InetSocketAddress controlAddress() {
        return controlAddress;
    }

    /** What is to be had from it. */
    public TestClusterPlan plan() {
        return plan;
    }

    /** The host, or null if there is no such host. */
    HostServer host(String id) {
        return hosts.get(id);
    }

    /** The host's address, or null if there is no such host. */
    public InetSocketAddress address(String id) {
        HostServer hostServer = host(id);
        return hostServer == null ? null : hostServer.address();
    }

    /**
     * The platform's configuration of a proxy before these hosts, which is also what the file of
     * {@code --ready-file} holds, with {@code hosts} and {@code control} besides.
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

    /** Ends all hosts and writes down what they still held; the request log stays open. */
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
                    () -> stop(host, fault, host.scheduler.now() + STOP_TIMEOUT_MILLIS * 1_000_000));
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
