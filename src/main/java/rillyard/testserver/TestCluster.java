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
    private static final int IDS = 65_536;

    /** How long a host that stops waits for what it has (ms), and how often it looks. */
    private static final long STOP_MS = 5_000;

    private static final long LOOK_MS = 10;

    private final TestClusterPlan plan;
    private final RequestLogWriter requestLog;
    private final AdvertisedAddresses view;
    private final PrintStream errors;
    private final InetSocketAddress listen;
    private final EventLoopGroup loops;
    private final EventLoopGroup control = EventLoops.group(1, "stand-in-control");
    private final Map<String, RequestClassSpec> classes = new HashMap<>();
    private final Map<String, HostServer> hosts = new ConcurrentHashMap<>();
    private final Map<String, IdempotencyKeyStore> memories = new ConcurrentHashMap<>();
    private final Map<String, Integer> attempts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > IDS;
        }
    };
    private final SplittableRandom seeds;
    private final HostContext fleet = new Belongings();
    private DiscoveryServer discovery;
    private InetSocketAddress discoveryAddress;
    private InetSocketAddress controlAddress;
    private volatile boolean closed;
    private int replaced;

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
        this(plan, listen, threads, requestLog, errors, AdvertisedAddresses.SAME);
    }

    /** As above, with addresses told to each caller as {@code view} has them. */
    public TestCluster(
            TestClusterPlan plan,
            InetSocketAddress listen,
            int threads,
            RequestLogWriter requestLog,
            PrintStream errors,
            AdvertisedAddresses view) {
        this.plan = plan;
        this.view = view;
        this.listen = listen;
        this.requestLog = requestLog;
        this.errors = errors;
        this.loops = EventLoops.group(threads, "stand-in");
        this.seeds = new SplittableRandom(plan.seed());
        plan.classes().forEach(spec -> classes.put(spec.name(), spec));
    }

    /**
     * Opens all; nothing goes wrong yet.
     *
     * @throws Exception what a bind throws; what was opened is closed then
     */
    public void start() throws Exception {
        try {
            InetSocketAddress any = new InetSocketAddress(listen.getAddress(), 0);
            List<EndpointCatalog.Entry> entries = new ArrayList<>();
            for (HostSpec hostSpec : plan.hosts()) {
                HostServer hostServer = host(hostSpec, loops.next());
                hostServer.start(any, hostSpec.startsCold());
                entries.add(entry(hostServer, "up", hostSpec.startsCold()));
            }
            discovery = new DiscoveryServer(control.next(), new EndpointCatalog(entries), requestLog, view);
            discoveryAddress = discovery.start(listen);
            controlAddress = new FaultControlServer(this).start(control, any);
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
        HostServer hostServer = new HostServer(host, loop, fleet, seeds.nextLong());
        hosts.put(host.id(), hostServer);
        return hostServer;
    }

    private void plan(HostFault fault) {
        control.next().schedule(() -> timely(fault), (long) (fault.atMs() * 1e6), TimeUnit.NANOSECONDS);
    }

    private void timely(HostFault fault) {
        begin(fault).addListener((Future<Object> begun) -> {
            if (!begun.isSuccess()) {
                errors.println("rillyard: the fault " + fault.words() + " has not begun: "
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
        if (fault.kind().ofDiscovery()) {
            return discovery.loop().submit(() -> discoveryFault(fault));
        }
        HostServer host = hosts.get(fault.host());
        return host == null
                ? control.next().newFailedFuture(new IllegalArgumentException("no host '" + fault.host() + "'"))
                : host.loop().submit(() -> host.begin(fault));
    }

    private void discoveryFault(HostFault fault) {
        note(HostEvent.Kind.FAULT, fault);
        discovery.fault(fault.kind(), true);
        if (fault.forMs() > 0) {
            discovery
                    .loop()
                    .schedule(
                            () -> {
                                discovery.fault(fault.kind(), false);
                                note(HostEvent.Kind.FAULT_ENDED, fault);
                            },
                            (long) (fault.forMs() * 1e6),
                            TimeUnit.NANOSECONDS);
        }
    }

    private void note(HostEvent.Kind what, HostFault fault) {
        requestLog.append(new HostEvent(UnixClock.micros(), "discovery", what, fault.words()));
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
    private void hear(HostServer host, String state, boolean started) {
        EndpointCatalog.Entry e = entry(host, state, started);
        discovery
                .loop()
                .schedule(
                        () -> {
                            EndpointCatalog.Entry had = discovery.get(e.spec().id());
                            long since = started || had == null ? e.startedMs() : had.startedMs();
                            discovery.change(new EndpointCatalog.Entry(e.spec(), e.address(), state, since));
                        },
                        (long) (plan.noticeMs() * 1e6),
                        TimeUnit.NANOSECONDS);
    }

    private void stop(HostServer host, HostFault fault, long until) {
        if (!host.up()) {
            return;
        }
        host.closeIdle();
        if (host.busy() && host.timers.now() < until) {
            host.timers.scheduleAfter(LOOK_MS * 1_000_000, () -> stop(host, fault, until));
            return;
        }
        host.down(HostEvent.Kind.STOPPED);
        fleet.stopped(host, fault);
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
            id = hostServer.spec.id().replaceFirst("\\+\\d+$", "") + "+" + ++replaced;
        }
        hosts.remove(hostServer.spec.id());
        host(hostServer.spec.named(id), hostServer.loop()).restart(hostServer.address());
    }

    /** Where discovery listens. */
    public InetSocketAddress discovery() {
        return discoveryAddress;
    }

    /** Where faults can be asked for. */
    public InetSocketAddress control() {
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
    public ObjectNode ready() {
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
            host.loop().submit(() -> host.down(HostEvent.Kind.STOPPED)).syncUninterruptibly();
        }
        loops.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
        control.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
        requestLog.flush();
    }

    private final class Belongings implements HostContext {
        @Override
        public TestClusterPlan plan() {
            return plan;
        }

        @Override
        public RequestLogWriter ledger() {
            return requestLog;
        }

        @Override
        public RequestClassSpec type(String name) {
            return classes.get(name);
        }

        @Override
        public IdempotencyKeyStore memory(RequestClassSpec type, HostSpec host) {
            String group =
                    switch (type.scope()) {
                        case ALL -> "";
                        case ZONE -> host.zone();
                        case CELL -> Long.toString(host.cell());
                    };
            return memories.computeIfAbsent(
                    type.name() + "/" + group, k -> new IdempotencyKeyStore((long) (type.idempotencyWindowMs() * 1e6)));
        }

        @Override
        public int attempt(String id) {
            synchronized (attempts) {
                return attempts.merge(id, 1, Integer::sum) - 1;
            }
        }

        @Override
        public void draining(HostServer host, HostFault fault) {
            requestLog.append(new HostEvent(UnixClock.micros(), host.spec.id(), HostEvent.Kind.DRAINING, null));
            hear(host, "draining", false);
            host.timers.scheduleAfter(
                    (long) (fault.forMs() * 1e6), () -> stop(host, fault, host.timers.now() + STOP_MS * 1_000_000));
        }

        @Override
        public void stopped(HostServer host, HostFault fault) {
            hear(host, "removed", false);
            if (fault.restartMs() >= 0) {
                host.timers.scheduleAfter((long) (fault.restartMs() * 1e6), () -> replace(host, fault));
            }
        }

        @Override
        public void restarted(HostServer host) {
            hear(host, "up", true);
        }

        @Override
        public void failed(String what, Throwable cause) {
            errors.println("rillyard: " + what);
            cause.printStackTrace(errors);
        }
    }
}
