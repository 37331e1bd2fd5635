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
    private final RequestLogWriter ledger;
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
            TestClusterPlan plan, InetSocketAddress listen, int threads, RequestLogWriter ledger, PrintStream errors) {
        this(plan, listen, threads, ledger, errors, AdvertisedAddresses.SAME);
    }

    /** As above, with addresses told to each caller as {@code view} has them. */
    public TestCluster(
            TestClusterPlan plan,
            InetSocketAddress listen,
            int threads,
            RequestLogWriter ledger,
            PrintStream errors,
            AdvertisedAddresses view) {
        this.plan = plan;
        this.view = view;
        this.listen = listen;
        this.ledger = ledger;
        this.errors = errors;
        this.loops = EventLoops.group(threads, "stand-in");
        this.seeds = new SplittableRandom(plan.seed());
        plan.classes().forEach(c -> classes.put(c.name(), c));
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
            for (HostSpec s : plan.hosts()) {
                HostServer h = host(s, loops.next());
                h.start(any, s.startsCold());
                entries.add(entry(h, "up", s.startsCold()));
            }
            discovery = new DiscoveryServer(control.next(), new EndpointCatalog(entries), ledger, view);
            discoveryAddress = discovery.start(listen);
            controlAddress = new FaultControlServer(this).start(control, any);
        } catch (Exception e) {
            close();
            throw e;
        }
    }

    /** Has the timetable begin now. */
    public void startTimetable() {
        plan.faults().forEach(this::plan);
    }

    private HostServer host(HostSpec s, EventLoop loop) {
        HostServer h = new HostServer(s, loop, fleet, seeds.nextLong());
        hosts.put(s.id(), h);
        return h;
    }

    private void plan(HostFault f) {
        control.next().schedule(() -> timely(f), (long) (f.atMs() * 1e6), TimeUnit.NANOSECONDS);
    }

    private void timely(HostFault f) {
        begin(f).addListener((Future<Object> begun) -> {
            if (!begun.isSuccess()) {
                errors.println("rillyard: the fault " + f.words() + " has not begun: "
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
    public Future<?> begin(HostFault f) {
        if (f.kind().ofDiscovery()) {
            return discovery.loop().submit(() -> discoveryFault(f));
        }
        HostServer h = hosts.get(f.host());
        return h == null
                ? control.next().newFailedFuture(new IllegalArgumentException("no host '" + f.host() + "'"))
                : h.loop().submit(() -> h.begin(f));
    }

    private void discoveryFault(HostFault f) {
        note(HostEvent.Kind.FAULT, f);
        discovery.fault(f.kind(), true);
        if (f.forMs() > 0) {
            discovery
                    .loop()
                    .schedule(
                            () -> {
                                discovery.fault(f.kind(), false);
                                note(HostEvent.Kind.FAULT_ENDED, f);
                            },
                            (long) (f.forMs() * 1e6),
                            TimeUnit.NANOSECONDS);
        }
    }

    private void note(HostEvent.Kind what, HostFault f) {
        ledger.append(new HostEvent(UnixClock.micros(), "discovery", what, f.words()));
    }

    private static EndpointCatalog.Entry entry(HostServer h, String state, boolean started) {
        InetSocketAddress a = h.address();
        return new EndpointCatalog.Entry(
                h.spec,
                a.getAddress().getHostAddress() + ":" + a.getPort(),
                state,
                started ? System.currentTimeMillis() : 0);
    }

    /** Has discovery hear of a host's state after its notice. */
    private void hear(HostServer h, String state, boolean started) {
        EndpointCatalog.Entry e = entry(h, state, started);
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

    private void stop(HostServer h, HostFault f, long until) {
        if (!h.up()) {
            return;
        }
        h.closeIdle();
        if (h.busy() && h.timers.now() < until) {
            h.timers.after(LOOK_MS * 1_000_000, () -> stop(h, f, until));
            return;
        }
        h.down(HostEvent.Kind.STOPPED);
        fleet.stopped(h, f);
    }

    private void replace(HostServer h, HostFault f) {
        if (closed) {
            return;
        }
        if (!f.newId()) {
            h.restart(h.address());
            return;
        }
        String id;
        synchronized (this) {
            id = h.spec.id().replaceFirst("\\+\\d+$", "") + "+" + ++replaced;
        }
        hosts.remove(h.spec.id());
        host(h.spec.named(id), h.loop()).restart(h.address());
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
        HostServer h = host(id);
        return h == null ? null : h.address();
    }

    /**
     * The platform's configuration of a proxy before these hosts, which is also what the file of
     * {@code --ready-file} holds, with {@code hosts} and {@code control} besides.
     */
    public ObjectNode ready() {
        List<EndpointCatalog.Entry> entries = new ArrayList<>();
        for (HostSpec s : plan.hosts()) {
            HostServer h = hosts.get(s.id());
            if (h != null) {
                entries.add(entry(h, "up", false));
            }
        }
        return ReadyFile.of(plan, entries, discoveryAddress, controlAddress);
    }

    /** Ends all hosts and writes down what they still held; the ledger stays open. */
    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        for (HostServer h : hosts.values()) {
            h.loop().submit(() -> h.down(HostEvent.Kind.STOPPED)).syncUninterruptibly();
        }
        loops.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
        control.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
        ledger.flush();
    }

    private final class Belongings implements HostContext {
        @Override
        public TestClusterPlan plan() {
            return plan;
        }

        @Override
        public RequestLogWriter ledger() {
            return ledger;
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
                    type.name() + "/" + group, k -> new IdempotencyKeyStore((long) (type.windowMs() * 1e6)));
        }

        @Override
        public int attempt(String id) {
            synchronized (attempts) {
                return attempts.merge(id, 1, Integer::sum) - 1;
            }
        }

        @Override
        public void draining(HostServer h, HostFault f) {
            ledger.append(new HostEvent(UnixClock.micros(), h.spec.id(), HostEvent.Kind.DRAINING, null));
            hear(h, "draining", false);
            h.timers.after((long) (f.forMs() * 1e6), () -> stop(h, f, h.timers.now() + STOP_MS * 1_000_000));
        }

        @Override
        public void stopped(HostServer h, HostFault f) {
            hear(h, "removed", false);
            if (f.restartMs() >= 0) {
                h.timers.after((long) (f.restartMs() * 1e6), () -> replace(h, f));
            }
        }

        @Override
        public void restarted(HostServer h) {
            hear(h, "up", true);
        }

        @Override
        public void failed(String what, Throwable t) {
            errors.println("rillyard: " + what);
            t.printStackTrace(errors);
        }
    }
}
