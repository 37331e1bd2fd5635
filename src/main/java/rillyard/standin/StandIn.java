package rillyard.standin;

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
import rillyard.ledger.HostNews;
import rillyard.ledger.Ledger;
import rillyard.ledger.UnixClock;
import rillyard.timing.Loops;

/** Hosts, discovery and a control port, all in this process, until it is closed. */
public final class StandIn implements AutoCloseable {
    /** Ids whose attempts are counted; the oldest make room. */
    private static final int IDS = 65_536;

    /** How long a host that stops waits for what it has (ms), and how often it looks. */
    private static final long STOP_MS = 5_000;

    private static final long LOOK_MS = 10;

    private final StandInPlan plan;
    private final Ledger ledger;
    private final AddressView view;
    private final PrintStream errors;
    private final InetSocketAddress listen;
    private final EventLoopGroup loops;
    private final EventLoopGroup control = Loops.group(1, "stand-in-control");
    private final Map<String, ClassSpec> classes = new HashMap<>();
    private final Map<String, HostServer> hosts = new ConcurrentHashMap<>();
    private final Map<String, KeyMemory> memories = new ConcurrentHashMap<>();
    private final Map<String, Integer> attempts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > IDS;
        }
    };
    private final SplittableRandom seeds;
    private final Fleet fleet = new Belongings();
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
    public StandIn(StandInPlan plan, InetSocketAddress listen, int threads, Ledger ledger, PrintStream errors) {
        this(plan, listen, threads, ledger, errors, AddressView.SAME);
    }

    /** As above, with addresses told to each caller as {@code view} has them. */
    public StandIn(
            StandInPlan plan,
            InetSocketAddress listen,
            int threads,
            Ledger ledger,
            PrintStream errors,
            AddressView view) {
        this.plan = plan;
        this.view = view;
        this.listen = listen;
        this.ledger = ledger;
        this.errors = errors;
        this.loops = Loops.group(threads, "stand-in");
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
            List<Catalog.Entry> entries = new ArrayList<>();
            for (HostSpec s : plan.hosts()) {
                HostServer h = host(s, loops.next());
                h.start(any, s.startsCold());
                entries.add(entry(h, "up", s.startsCold()));
            }
            discovery = new DiscoveryServer(control.next(), new Catalog(entries), ledger, view);
            discoveryAddress = discovery.start(listen);
            controlAddress = new ControlServer(this).start(control, any);
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

    private void plan(Fault f) {
        control.next().schedule(() -> timely(f), (long) (f.atMs() * 1e6), TimeUnit.NANOSECONDS);
    }

    private void timely(Fault f) {
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
    public Future<?> begin(Fault f) {
        if (f.kind().ofDiscovery()) {
            return discovery.loop().submit(() -> discoveryFault(f));
        }
        HostServer h = hosts.get(f.host());
        return h == null
                ? control.next().newFailedFuture(new IllegalArgumentException("no host '" + f.host() + "'"))
                : h.loop().submit(() -> h.begin(f));
    }

    private void discoveryFault(Fault f) {
        note(HostNews.What.FAULT, f);
        discovery.fault(f.kind(), true);
        if (f.forMs() > 0) {
            discovery
                    .loop()
                    .schedule(
                            () -> {
                                discovery.fault(f.kind(), false);
                                note(HostNews.What.FAULT_ENDED, f);
                            },
                            (long) (f.forMs() * 1e6),
                            TimeUnit.NANOSECONDS);
        }
    }

    private void note(HostNews.What what, Fault f) {
        ledger.append(new HostNews(UnixClock.micros(), "discovery", what, f.words()));
    }

    private static Catalog.Entry entry(HostServer h, String state, boolean started) {
        InetSocketAddress a = h.address();
        return new Catalog.Entry(
                h.spec,
                a.getAddress().getHostAddress() + ":" + a.getPort(),
                state,
                started ? System.currentTimeMillis() : 0);
    }

    /** Has discovery hear of a host's state after its notice. */
    private void hear(HostServer h, String state, boolean started) {
        Catalog.Entry e = entry(h, state, started);
        discovery
                .loop()
                .schedule(
                        () -> {
                            Catalog.Entry had = discovery.get(e.spec().id());
                            long since = started || had == null ? e.startedMs() : had.startedMs();
                            discovery.change(new Catalog.Entry(e.spec(), e.address(), state, since));
                        },
                        (long) (plan.noticeMs() * 1e6),
                        TimeUnit.NANOSECONDS);
    }

    private void stop(HostServer h, Fault f, long until) {
        if (!h.up()) {
            return;
        }
        h.closeIdle();
        if (h.busy() && h.timers.now() < until) {
            h.timers.after(LOOK_MS * 1_000_000, () -> stop(h, f, until));
            return;
        }
        h.down(HostNews.What.STOPPED);
        fleet.stopped(h, f);
    }

    private void replace(HostServer h, Fault f) {
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
    public StandInPlan plan() {
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
        List<Catalog.Entry> entries = new ArrayList<>();
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
            h.loop().submit(() -> h.down(HostNews.What.STOPPED)).syncUninterruptibly();
        }
        loops.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
        control.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
        ledger.flush();
    }

    private final class Belongings implements Fleet {
        @Override
        public StandInPlan plan() {
            return plan;
        }

        @Override
        public Ledger ledger() {
            return ledger;
        }

        @Override
        public ClassSpec type(String name) {
            return classes.get(name);
        }

        @Override
        public KeyMemory memory(ClassSpec type, HostSpec host) {
            String group =
                    switch (type.scope()) {
                        case ALL -> "";
                        case ZONE -> host.zone();
                        case CELL -> Long.toString(host.cell());
                    };
            return memories.computeIfAbsent(
                    type.name() + "/" + group, k -> new KeyMemory((long) (type.windowMs() * 1e6)));
        }

        @Override
        public int attempt(String id) {
            synchronized (attempts) {
                return attempts.merge(id, 1, Integer::sum) - 1;
            }
        }

        @Override
        public void draining(HostServer h, Fault f) {
            ledger.append(new HostNews(UnixClock.micros(), h.spec.id(), HostNews.What.DRAINING, null));
            hear(h, "draining", false);
            h.timers.after((long) (f.forMs() * 1e6), () -> stop(h, f, h.timers.now() + STOP_MS * 1_000_000));
        }

        @Override
        public void stopped(HostServer h, Fault f) {
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
