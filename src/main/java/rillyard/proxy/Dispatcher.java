package rillyard.proxy;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.Balancer;
import rillyard.balancer.BalancerActions;
import rillyard.balancer.EndpointEntry;
import rillyard.balancer.IncomingRequest;
import rillyard.balancer.LoadReport;
import rillyard.balancer.Settings;
import rillyard.gaps.Gaps;
import rillyard.hostlist.ListGuard;
import rillyard.hostlist.TakenOut;
import rillyard.operator.Figures;
import rillyard.succession.OutFolder;
import rillyard.trace.Trace;
import rillyard.trace.TraceLine.What;

/**
 * Runs the module on the event loop: hands it one event at a time, in the order in which they
 * came, and carries out what it asks for. What an action brings about at once waits in a queue
 * until the module has returned.
 */
final class Dispatcher implements BalancerActions {
    /** The module's clock begins here, so that a host that started before this process has a time. */
    private static final double CLOCK_START = 1e9;

    private record Event(Exchange about, Runnable what) {}

    private final EventLoop loop;
    private final Log log;
    private final Settings settings;
    private final Upstreams upstreams;
    private final BodyBudget budget;
    private final Hosts hosts;
    private final ListGuard guard;
    private final Gaps gaps;
    private final Neighbours neighbours;
    private final TakenOut takenOut = new TakenOut();
    private final Figures figures;
    private final Balancer balancer;
    private final long startedAt = System.nanoTime();
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final RecentIds ids = new RecentIds();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final double unixOffset;
    private boolean running;
    private long nextId;
    private Runnable follow = () -> {};

    Dispatcher(
            EventLoop loop,
            Config config,
            Upstreams upstreams,
            BodyBudget budget,
            Log log,
            ListGuard guard,
            Gaps gaps,
            Neighbours neighbours) {
        this.loop = loop;
        this.gaps = gaps;
        this.neighbours = neighbours;
        this.log = log;
        this.guard = guard;
        this.settings = config.settings();
        this.upstreams = upstreams;
        this.budget = budget;
        this.unixOffset = System.currentTimeMillis() - now();
        this.hosts = new Hosts(unixOffset, takenOut);
        this.figures = new Figures(
                settings.classes().stream().map(Settings.RequestClass::name).toList());
        this.balancer = new Balancer(settings, config.seed(), this);
    }

    double now() {
        return CLOCK_START + (System.nanoTime() - startedAt) / 1e6;
    }

    /** Since when what is read in this turn may have waited. */
    Gaps gaps() {
        return gaps;
    }

    /**
     * Ends what is past its time after a gap of so many ns in this process's own time. Guards against clients
     * that wait for a word behind all that has piled up meanwhile.
     */
    void endOverdue(long gap) {
        double now = now();
        int ended = 0;
        for (Exchange e : new ArrayList<>(exchanges.values())) {
            ended += e.endIfOverdue(now, gap / 1e6) ? 1 : 0;
        }
        if (ended > 0) {
            int n = ended;
            log.line(() -> "stood still for " + gap / 1_000_000 + " ms: " + n + " requests were past their time");
        }
    }

    /** Fails all that has no answer yet: the process ends. */
    void failAll() {
        new ArrayList<>(exchanges.values()).forEach(Exchange::failUnasked);
    }

    /** Runs something on the loop after so many ms. */
    Future<?> later(double delay, Runnable what) {
        return loop.schedule(what, Math.max(0, (long) (delay * 1e6)), TimeUnit.NANOSECONDS);
    }

    Log log() {
        return log;
    }

    Upstreams upstreams() {
        return upstreams;
    }

    BodyBudget budget() {
        return budget;
    }

    Hosts hosts() {
        return hosts;
    }

    int maxAttempts() {
        return settings.limits().maxAttempts();
    }

    Body newBody(long expected, boolean partial) {
        return new Body(budget, PooledByteBufAllocator.DEFAULT, expected, partial);
    }

    /** Requests that are not over, or whose attempts are not. */
    int open() {
        return exchanges.size();
    }

    long newId() {
        return nextId++;
    }

    // --- events

    /** Starts the module with the list as it was last had; {@code follow} opens the watch. */
    void start(Hosts.News known, Runnable follow) {
        this.follow = follow;
        deliver(null, () -> balancer.onStart(now()));
        membership(rillyard.balancer.WatchEvent.CACHED, known);
    }

    void membership(rillyard.balancer.WatchEvent kind, Hosts.News news) {
        Hosts.News believed = guard == null ? news : doubted(news);
        Set<Host> cut = hosts.apply(believed);
        tell(kind, hosts.effective(believed), cut);
        hosts.forgetGone();
    }

    /** The list, and with it what the guard has used on although the list lacks it. */
    private Hosts.News doubted(Hosts.News news) {
        if (!news.full()) {
            news.hosts().forEach(l -> guard.named(l.name()));
            return news;
        }
        Set<String> named = news.hosts().stream().map(Hosts.Listed::name).collect(Collectors.toSet());
        Set<String> kept = guard.whole(now(), hosts.inUse(), named);
        if (kept.isEmpty()) {
            return news;
        }
        log.line("watch: a list of " + named.size() + " hosts lacks " + kept.size() + " in use: not believed for now");
        List<Hosts.Listed> all = new ArrayList<>(news.hosts());
        kept.forEach(name -> all.add(hosts.asTold(name)));
        return new Hosts.News(news.version(), true, all);
    }

    /** Ends the use of hosts that a list lacked, once the doubt about it has lasted. */
    private void endDoubts() {
        List<Hosts.Listed> gone = new ArrayList<>();
        for (String name : guard.over(now())) {
            if (hosts.listed(name) != null) {
                log.line("watch: " + name + " is gone: no list has named it again");
                gone.add(hosts.asGone(name));
            }
        }
        if (!gone.isEmpty()) {
            membership(rillyard.balancer.WatchEvent.DELTA, new Hosts.News(0, false, gone));
        }
    }

    private void tell(rillyard.balancer.WatchEvent kind, List<EndpointEntry> entries, Iterable<Host> cut) {
        deliver(null, () -> balancer.onMembership(now(), kind, entries));
        for (Host h : cut) {
            // Guards against a send to a host that drains or has moved while its connection comes up.
            for (UpstreamCall call : upstreams.cut(h)) {
                call.moot();
            }
        }
    }

    /** Whether a host of this name is listed, or out by hand. */
    boolean knows(String name) {
        return hosts.listed(name) != null || takenOut.contains(name);
    }

    /** Takes a host out by hand, or gives it back; false if no such host is known. */
    boolean byHand(String name, boolean out) {
        if (!knows(name)) {
            return false;
        }
        if (out ? takenOut.takeOut(name) : takenOut.giveBack(name, now())) {
            changedByHand(Set.of(name));
        }
        return true;
    }

    /** Takes over what another process of this proxy did by hand; times are Unix time (ms). */
    void byHand(OutFolder.State elsewhere) {
        Map<String, Double> back = new HashMap<>();
        elsewhere.back().forEach((name, at) -> back.put(name, at - unixOffset));
        changedByHand(takenOut.adopt(elsewhere.out(), back));
    }

    private void changedByHand(Set<String> names) {
        List<EndpointEntry> entries = new ArrayList<>();
        List<Host> cut = new ArrayList<>();
        for (String name : names) {
            log.line(() -> name + (takenOut.contains(name) ? " is out by hand" : " is back by hand"));
            Host h = hosts.listed(name);
            if (h != null) {
                entries.add(hosts.changedByHand(h));
                cut.add(h);
            }
        }
        if (!entries.isEmpty()) {
            tell(rillyard.balancer.WatchEvent.DELTA, entries, cut);
        }
    }

    Figures figures() {
        return figures;
    }

    void followFailed() {
        deliver(null, () -> balancer.onMembership(now(), rillyard.balancer.WatchEvent.FAILED, null));
    }

    void arrived(Exchange e, IncomingRequest arrival) {
        exchanges.put(e.id, e);
        ids.opened(e.name);
        deliver(e, () -> balancer.onRequest(now(), arrival));
    }

    /** Writes an attempt down and tells neighbours, if that was asked for. */
    void attemptEnded(Host h, AttemptOutcome result, double spent) {
        if (neighbours != null) {
            neighbours.ended(h.name, result, now());
        }
        if (log.trace() != null) {
            double age = now() - spent - h.told.onlineSince();
            log.trace()
                    .attempt(
                            h.name,
                            result,
                            spent,
                            age >= 0 && age < settings.rules().cold());
        }
    }

    /** Writes an answer of our own down, if that was asked for; {@code last} as {@link Trace#ended}. */
    void traceEnd(Figures.End how, AttemptOutcome last) {
        if (log.trace() != null && how != Figures.End.COMPLETED) {
            log.trace().ended(how == Figures.End.REJECTED ? What.REFUSED : What.FAILED, last);
        }
    }

    void outcome(Exchange e, int number, AttemptOutcome result, double spent, boolean over, LoadReport report) {
        deliver(e, () -> balancer.onOutcome(now(), e.id, number, result, spent, over, report));
    }

    /** A request that was handed over while it came is whole; {@code budget} ms are left for it. */
    void whole(Exchange e, double budget) {
        deliver(e, () -> balancer.onWhole(now(), e.id, budget));
    }

    void clientGone(Exchange e) {
        deliver(e, () -> balancer.onClientGone(now(), e.id));
    }

    private void deliver(Exchange about, Runnable what) {
        events.add(new Event(about, what));
        if (running) {
            return;
        }
        running = true;
        try {
            Event e;
            while ((e = events.poll()) != null) {
                handle(e);
            }
        } finally {
            running = false;
        }
    }

    private void handle(Event e) {
        try {
            e.what().run();
        } catch (RuntimeException x) {
            // Guards against one event that ends the process: it costs its own request only.
            log.failure("the module failed on an event", x);
            if (e.about() != null) {
                e.about().failUnasked();
            }
        }
    }

    void forget(Exchange e) {
        if (exchanges.remove(e.id) != null) {
            ids.closed(e.name, System.nanoTime());
        }
    }

    /** Whether a request of this id is open, or was a moment ago. */
    boolean known(String id) {
        return ids.known(id, System.nanoTime());
    }

    void sweep() {
        if (guard != null) {
            endDoubts();
        }
        if (neighbours != null) {
            neighbours.step(now(), hosts.inUse(), new Heeding(this));
        }
        upstreams.sweep(hosts.all());
        hosts.forgetGone();
        figures.members(hosts.listedCount(), balancer.avoided());
    }

    /** Tells the module something that no request is about. */
    void tell(Consumer<Balancer> what) {
        deliver(null, () -> what.accept(balancer));
    }

    // --- actions

    @Override
    public void send(long request, long host, double giveUpAfter, double notAfter) {
        Exchange e = exchanges.get(request);
        Host h = hosts.get(host);
        if (e != null && h != null) {
            e.send(h, giveUpAfter, notAfter);
        } else {
            throw new IllegalStateException("send of " + request + " to " + host + ": not known");
        }
    }

    @Override
    public void refuse(long request, double coolDown) {
        Exchange e = exchanges.get(request);
        if (e != null) {
            e.refuse(coolDown);
        }
    }

    @Override
    public void fail(long request) {
        Exchange e = exchanges.get(request);
        if (e != null) {
            e.fail();
        }
    }

    @Override
    public void cancel(long request, int attempt) {
        Exchange e = exchanges.get(request);
        if (e != null) {
            e.cancel(attempt);
        }
    }

    @Override
    public void schedule(double delay, long token) {
        Runnable event = () -> deliver(exchanges.get(token), () -> balancer.onTimer(now(), token));
        Exchange e = exchanges.get(token);
        if (e != null) {
            e.later(delay, event);
        } else if (token < 0) {
            later(delay, event);
        }
    }

    @Override
    public void follow() {
        follow.run();
    }

    @Override
    public void log(String line) {
        log.line(() -> hosts.named(line));
    }
}
