package rillyard.proxy.dispatch;

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
import rillyard.admin.ProxyMetrics;
import rillyard.balancer.AttemptOutcome;
import rillyard.balancer.AttemptResult;
import rillyard.balancer.Balancer;
import rillyard.balancer.BalancerActions;
import rillyard.balancer.EndpointEntry;
import rillyard.balancer.IncomingRequest;
import rillyard.balancer.LoadReport;
import rillyard.balancer.Settings;
import rillyard.endpoints.DisabledHosts;
import rillyard.endpoints.EndpointListGuard;
import rillyard.hotrestart.DisabledHostStore;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.discovery.EndpointListListener;
import rillyard.proxy.discovery.EndpointRegistry;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.resources.BodyMemoryBudget;
import rillyard.proxy.resources.BufferedBody;
import rillyard.proxy.upstream.UpstreamCall;
import rillyard.proxy.upstream.UpstreamHost;
import rillyard.proxy.upstream.UpstreamPool;
import rillyard.stall.StallDetector;
import rillyard.trace.ProxyTrace;
import rillyard.trace.TraceEvent.Kind;

/**
 * Runs the module on the event loop: hands it one event at a time, in the order in which they
 * came, and carries out what it asks for. What an action brings about at once waits in a queue
 * until the module has returned.
 */
public final class BalancerDriver implements BalancerActions, EndpointListListener {
    /** The module's clock begins here, so that a host that started before this process has a time. */
    private static final double CLOCK_START = 1e9;

    private record Event(RequestExchange about, Runnable what) {}

    private final EventLoop loop;
    private final ProxyLog log;
    private final Settings settings;
    private final UpstreamPool upstreams;
    private final BodyMemoryBudget bodyMemory;
    private final EndpointRegistry endpoints;
    private final EndpointListGuard guard;
    private final StallDetector stallDetector;
    private final PeerGossip peerGossip;
    private final DisabledHosts disabledHosts = new DisabledHosts();
    private final ProxyMetrics metrics;
    private final Balancer balancer;
    private final long startedAt = System.nanoTime();
    private final Map<Long, RequestExchange> exchanges = new HashMap<>();
    private final RequestIdCache ids = new RequestIdCache();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final double unixOffset;
    private boolean running;
    private long nextId;
    private Runnable follow = () -> {};

    public BalancerDriver(
            EventLoop loop,
            ProxyConfig config,
            UpstreamPool upstreams,
            BodyMemoryBudget budget,
            ProxyLog log,
            EndpointListGuard guard,
            StallDetector gaps,
            PeerGossip neighbours) {
        this.loop = loop;
        this.stallDetector = gaps;
        this.peerGossip = neighbours;
        this.log = log;
        this.guard = guard;
        this.settings = config.settings();
        this.upstreams = upstreams;
        this.bodyMemory = budget;
        this.unixOffset = System.currentTimeMillis() - now();
        this.endpoints = new EndpointRegistry(unixOffset, disabledHosts);
        this.metrics = new ProxyMetrics(
                settings.classes().stream().map(Settings.RequestClass::name).toList());
        this.balancer = new Balancer(settings, config.seed(), this);
    }

    public double now() {
        return CLOCK_START + (System.nanoTime() - startedAt) / 1e6;
    }

    /** Since when what is read in this turn may have waited. */
    public StallDetector stallDetector() {
        return stallDetector;
    }

    /**
     * Ends what is past its time after a gap of so many ns in this process's own time. Guards against clients
     * that wait for a word behind all that has piled up meanwhile.
     */
    public void endOverdueRequests(long gap) {
        double now = now();
        int ended = 0;
        for (RequestExchange exchange : new ArrayList<>(exchanges.values())) {
            ended += exchange.endIfOverdue(now, gap / 1e6) ? 1 : 0;
        }
        if (ended > 0) {
            int n = ended;
            log.info(() -> "stood still for " + gap / 1_000_000 + " ms: " + n + " requests were past their time");
        }
    }

    /** Fails all that has no answer yet: the process ends. */
    public void failOpenRequests() {
        new ArrayList<>(exchanges.values()).forEach(RequestExchange::failWithoutDecision);
    }

    /** Runs something on the loop after so many ms. */
    public Future<?> schedule(double delay, Runnable what) {
        return loop.schedule(what, Math.max(0, (long) (delay * 1e6)), TimeUnit.NANOSECONDS);
    }

    ProxyLog log() {
        return log;
    }

    UpstreamPool upstreams() {
        return upstreams;
    }

    BodyMemoryBudget bodyMemory() {
        return bodyMemory;
    }

    public EndpointRegistry endpoints() {
        return endpoints;
    }

    int maxAttempts() {
        return settings.limits().maxAttempts();
    }

    public BufferedBody newBody(long expected, boolean partial) {
        return new BufferedBody(bodyMemory, PooledByteBufAllocator.DEFAULT, expected, partial);
    }

    /** Requests that are not over, or whose attempts are not. */
    public int openRequests() {
        return exchanges.size();
    }

    public long nextRequestId() {
        return nextId++;
    }

    // --- events

    @Override
    public void onWatchStarting(EndpointRegistry.EndpointList known, Runnable follow) {
        this.follow = follow;
        deliver(null, () -> balancer.onStart(now()));
        onEndpointList(rillyard.balancer.WatchEvent.CACHED, known);
    }

    @Override
    public void onEndpointList(rillyard.balancer.WatchEvent kind, EndpointRegistry.EndpointList news) {
        EndpointRegistry.EndpointList believed = guard == null ? news : doubted(news);
        Set<UpstreamHost> cut = endpoints.apply(believed);
        tell(kind, endpoints.effective(believed), cut);
        endpoints.removeUnused();
    }

    /** The list, and with it what the guard has used on although the list lacks it. */
    private EndpointRegistry.EndpointList doubted(EndpointRegistry.EndpointList news) {
        if (!news.full()) {
            news.hosts().forEach(listed -> guard.onNamed(listed.name()));
            return news;
        }
        Set<String> named =
                news.hosts().stream().map(EndpointRegistry.ListedEndpoint::name).collect(Collectors.toSet());
        Set<String> kept = guard.onFullList(now(), endpoints.readyHostNames(), named);
        if (kept.isEmpty()) {
            return news;
        }
        log.info("watch: a list of " + named.size() + " hosts lacks " + kept.size() + " in use: not believed for now");
        List<EndpointRegistry.ListedEndpoint> all = new ArrayList<>(news.hosts());
        kept.forEach(name -> all.add(endpoints.lastAnnounced(name)));
        return new EndpointRegistry.EndpointList(news.version(), true, all);
    }

    /** Ends the use of hosts that a list lacked, once the doubt about it has lasted. */
    private void endDoubts() {
        List<EndpointRegistry.ListedEndpoint> gone = new ArrayList<>();
        for (String name : guard.expired(now())) {
            if (endpoints.findListed(name) != null) {
                log.info("watch: " + name + " is gone: no list has named it again");
                gone.add(endpoints.asRemoved(name));
            }
        }
        if (!gone.isEmpty()) {
            onEndpointList(rillyard.balancer.WatchEvent.DELTA, new EndpointRegistry.EndpointList(0, false, gone));
        }
    }

    private void tell(rillyard.balancer.WatchEvent kind, List<EndpointEntry> entries, Iterable<UpstreamHost> cut) {
        deliver(null, () -> balancer.onWatchEvent(now(), kind, entries));
        for (UpstreamHost host : cut) {
            // Guards against a send to a host that drains or has moved while its connection comes up.
            for (UpstreamCall call : upstreams.closeIdleAndConnecting(host)) {
                call.onNotNeeded();
            }
        }
    }

    /** Whether a host of this name is listed, or out by hand. */
    public boolean isKnownHost(String name) {
        return endpoints.findListed(name) != null || disabledHosts.contains(name);
    }

    /** Takes a host out by hand, or gives it back; false if no such host is known. */
    public boolean setDisabled(String name, boolean out) {
        if (!isKnownHost(name)) {
            return false;
        }
        if (out ? disabledHosts.disable(name) : disabledHosts.enable(name, now())) {
            changedByHand(Set.of(name));
        }
        return true;
    }

    /** Takes over what another process of this proxy did by hand; times are Unix time (ms). */
    public void setDisabled(DisabledHostStore.Contents elsewhere) {
        Map<String, Double> back = new HashMap<>();
        elsewhere.enabledAtUnixMillis().forEach((name, at) -> back.put(name, at - unixOffset));
        changedByHand(disabledHosts.adopt(elsewhere.disabled(), back));
    }

    private void changedByHand(Set<String> names) {
        List<EndpointEntry> entries = new ArrayList<>();
        List<UpstreamHost> cut = new ArrayList<>();
        for (String name : names) {
            log.info(() -> name + (disabledHosts.contains(name) ? " is out by hand" : " is back by hand"));
            UpstreamHost host = endpoints.findListed(name);
            if (host != null) {
                entries.add(endpoints.onDisabledChanged(host));
                cut.add(host);
            }
        }
        if (!entries.isEmpty()) {
            tell(rillyard.balancer.WatchEvent.DELTA, entries, cut);
        }
    }

    public ProxyMetrics metrics() {
        return metrics;
    }

    @Override
    public void onWatchFailed() {
        deliver(null, () -> balancer.onWatchEvent(now(), rillyard.balancer.WatchEvent.FAILED, null));
    }

    public void onRequest(RequestExchange exchange, IncomingRequest arrival) {
        exchanges.put(exchange.id, exchange);
        ids.onOpened(exchange.requestId);
        deliver(exchange, () -> balancer.onRequest(now(), arrival));
    }

    /** Writes an attempt down and tells neighbours, if that was asked for. */
    void onAttemptEnded(UpstreamHost host, AttemptOutcome result, double spent) {
        if (peerGossip != null) {
            peerGossip.onAttemptEnded(host.name(), result, now());
        }
        if (log.trace() != null) {
            double age = now() - spent - host.entry().onlineSince();
            log.trace()
                    .recordAttempt(
                            host.name(),
                            result.traceWord(),
                            spent,
                            age >= 0 && age < settings.rules().warmUpTime());
        }
    }

    /** Writes an answer of our own down, if that was asked for; {@code last} as {@link ProxyTrace#recordRejection}. */
    void traceEnd(ProxyMetrics.RequestOutcome how, AttemptOutcome last) {
        if (log.trace() != null && how != ProxyMetrics.RequestOutcome.COMPLETED) {
            log.trace()
                    .recordRejection(
                            how == ProxyMetrics.RequestOutcome.REJECTED ? Kind.REFUSED : Kind.FAILED,
                            last == null ? null : last.traceWord());
        }
    }

    void onAttemptOutcome(
            RequestExchange exchange,
            int number,
            AttemptOutcome result,
            double spent,
            boolean over,
            LoadReport report) {
        deliver(
                exchange,
                () -> balancer.onAttemptEnded(
                        now(), exchange.id, new AttemptResult(number, result, spent, over, report)));
    }

    /** A request that was handed over while it came is whole; {@code budget} ms are left for it. */
    void onRequestComplete(RequestExchange exchange, double budget) {
        deliver(exchange, () -> balancer.onRequestComplete(now(), exchange.id, budget));
    }

    void onClientDisconnected(RequestExchange exchange) {
        deliver(exchange, () -> balancer.onClientDisconnected(now(), exchange.id));
    }

    private void deliver(RequestExchange about, Runnable what) {
        events.add(new Event(about, what));
        if (running) {
            return;
        }
        running = true;
        try {
            Event event;
            while ((event = events.poll()) != null) {
                handle(event);
            }
        } finally {
            running = false;
        }
    }

    private void handle(Event event) {
        try {
            event.what().run();
        } catch (RuntimeException x) {
            // Guards against one event that ends the process: it costs its own request only.
            log.error("the module failed on an event", x);
            if (event.about() != null) {
                event.about().failWithoutDecision();
            }
        }
    }

    void forget(RequestExchange exchange) {
        if (exchanges.remove(exchange.id) != null) {
            ids.onClosed(exchange.requestId, System.nanoTime());
        }
    }

    /** Whether a request of this id is open, or was a moment ago. */
    public boolean isKnownRequestId(String id) {
        return ids.contains(id, System.nanoTime());
    }

    public void runMaintenance() {
        if (guard != null) {
            endDoubts();
        }
        if (peerGossip != null) {
            peerGossip.step(now(), endpoints.readyHostNames(), new PeerGossipListener(this));
        }
        upstreams.runMaintenance(endpoints.hosts());
        endpoints.removeUnused();
        metrics.setHosts(endpoints.listedCount(), balancer.avoidedHostCount());
    }

    /** Tells the module something that no request is about. */
    void tell(Consumer<Balancer> what) {
        deliver(null, () -> what.accept(balancer));
    }

    // --- actions

    @Override
    public void send(long request, long host, double giveUpAfter, double notAfter) {
        RequestExchange exchange = exchanges.get(request);
        UpstreamHost upstreamHost = endpoints.get(host);
        if (exchange != null && upstreamHost != null) {
            exchange.send(upstreamHost, giveUpAfter, notAfter);
        } else {
            throw new IllegalStateException("send of " + request + " to " + host + ": not known");
        }
    }

    @Override
    public void reject(long request, double coolDown) {
        RequestExchange exchange = exchanges.get(request);
        if (exchange != null) {
            exchange.reject(coolDown);
        }
    }

    @Override
    public void fail(long request) {
        RequestExchange exchange = exchanges.get(request);
        if (exchange != null) {
            exchange.fail();
        }
    }

    @Override
    public void cancel(long request, int attempt) {
        RequestExchange exchange = exchanges.get(request);
        if (exchange != null) {
            exchange.cancel(attempt);
        }
    }

    @Override
    public void scheduleTimer(double delay, long token) {
        Runnable event = () -> deliver(exchanges.get(token), () -> balancer.onTimer(now(), token));
        RequestExchange exchange = exchanges.get(token);
        if (exchange != null) {
            exchange.schedule(delay, event);
        } else if (token < 0) {
            schedule(delay, event);
        }
    }

    @Override
    public void subscribe() {
        follow.run();
    }

    @Override
    public void log(String line) {
        log.info(() -> endpoints.replaceHostId(line));
    }
}
