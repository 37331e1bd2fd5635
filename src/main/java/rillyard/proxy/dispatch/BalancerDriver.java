package rillyard.proxy.dispatch;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import rillyard.admin.ProxyMetrics;
import rillyard.balancer.AttemptResult;
import rillyard.balancer.Balancer;
import rillyard.balancer.EndpointEntry;
import rillyard.balancer.IncomingRequest;
import rillyard.balancer.Settings;
import rillyard.balancer.WatchEvent;
import rillyard.endpoints.DisabledHosts;
import rillyard.endpoints.EndpointListGuard;
import rillyard.endpoints.HostStartClock;
import rillyard.hotrestart.DisabledHostStore;
import rillyard.hotrestart.RequestIdTable;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.discovery.EndpointListListener;
import rillyard.proxy.discovery.EndpointRegistry;
import rillyard.proxy.eventloop.GuardedTimer;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.resources.BodyMemoryBudget;
import rillyard.proxy.upstream.UpstreamCall;
import rillyard.proxy.upstream.UpstreamHost;
import rillyard.proxy.upstream.UpstreamPool;

/**
 * Runs the {@link Balancer} on the event loop: delivers events to it and has its actions carried out.
 *
 * <p>Confined to the event loop, except {@link #metrics} and {@link #steadyUnixMillis}.
 */
public final class BalancerDriver implements EndpointListListener {
    private static final double NANOS_PER_MILLI = 1e6;

    private final EventLoop loop;
    private final ProxyLog log;
    private final UpstreamPool upstreams;
    private final BodyMemoryBudget bodyMemory;
    private final PeerGossip peerGossip;
    private final PeerGossipListener peerGossipListener = new PeerGossipListener(this);
    private final int maxAttempts;
    private final Set<String> repeatableClasses = new HashSet<>();
    private final BalancerClock clock = new BalancerClock();
    private final OpenRequests openRequests = new OpenRequests();
    private final BalancerEvents events;
    private final EndpointRegistry endpoints;
    private final EndpointListApplier endpointLists;
    private final DisabledHostsUpdater disabledHosts;
    private final ProxyMetrics metrics;
    private final OutcomeRecorder outcomeRecorder;
    private final Balancer balancer;
    private Runnable openWatch = () -> {};

    /**
     * Creates a driver that is not started.
     *
     * @param guard null if full endpoint lists are always applied as received
     * @param peerGossip null if no observations are exchanged with other proxies
     */
    public BalancerDriver(
            EventLoop loop,
            ProxyConfig config,
            UpstreamPool upstreams,
            BodyMemoryBudget bodyMemory,
            ProxyLog log,
            EndpointListGuard guard,
            PeerGossip peerGossip) {
        Settings settings = config.settings();
        this.loop = loop;
        this.log = log;
        this.upstreams = upstreams;
        this.bodyMemory = bodyMemory;
        this.peerGossip = peerGossip;
        this.maxAttempts = settings.limits().maxAttempts();
        for (Settings.RequestClass requestClass : settings.classes()) {
            if (requestClass.semantics() != Settings.Semantics.AT_MOST_ONCE) {
                repeatableClasses.add(requestClass.name());
            }
        }
        this.events = new BalancerEvents(log);
        DisabledHosts disabled = new DisabledHosts();
        this.endpoints = new EndpointRegistry(
                new HostStartClock(clock.unixOffsetMillis(), settings.rules().warmUpMillis()), disabled);
        this.endpointLists = new EndpointListApplier(this, endpoints, guard, log);
        this.disabledHosts = new DisabledHostsUpdater(this, clock, endpoints, disabled, log);
        this.metrics = new ProxyMetrics(
                settings.classes().stream().map(Settings.RequestClass::name).toList());
        this.outcomeRecorder = new OutcomeRecorder(clock, metrics, log.trace(), peerGossip, settings);
        this.balancer = new Balancer(settings, config.seed(), new RequestActions(this, openRequests, endpoints));
    }

    // --- services for exchanges and attempts

    /** Returns the current time (ms) of the balancer's clock. */
    public double nowMillis() {
        return clock.nowMillis();
    }

    /** Converts a time (ms) of {@link #nowMillis} to {@link System#nanoTime}. */
    long toNanoTime(double timeMillis) {
        return clock.toNanoTime(timeMillis);
    }

    /**
     * Returns a Unix time (ms) that never jumps: the wall clock's time at the start plus the monotonic time since then.
     * May be called on any thread.
     */
    public long steadyUnixMillis() {
        return (long) clock.toUnixMillis(clock.nowMillis());
    }

    /** Runs {@code action} on the loop after a delay (0 if negative); {@code failureHandler} gets what it throws. */
    Future<?> schedule(double delayMillis, Runnable action, Consumer<Throwable> failureHandler) {
        return GuardedTimer.schedule(loop, (long) (delayMillis * NANOS_PER_MILLI), action, failureHandler);
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

    int maxAttempts() {
        return maxAttempts;
    }

    /** Returns whether requests of a class may be sent again though a host may have executed them. */
    boolean isRepeatable(String requestClass) {
        return repeatableClasses.contains(requestClass);
    }

    /** Returns the metrics of this proxy. May be called on any thread. */
    public ProxyMetrics metrics() {
        return metrics;
    }

    OutcomeRecorder outcomeRecorder() {
        return outcomeRecorder;
    }

    // --- open requests

    /** Returns the number of requests that lack their complete response or have open attempts. */
    public int openRequests() {
        return openRequests.size();
    }

    long nextRequestId() {
        return openRequests.nextId();
    }

    /** From now on shares the ids of requests with other processes; to be called before the first request. */
    public void shareRequestIds(RequestIdTable shared) {
        openRequests.shareRequestIds(shared);
    }

    /** Returns whether a request with this id, which its client chose, is open or has ended recently. */
    public boolean isKnownRequestId(String requestId) {
        return openRequests.isKnown(requestId);
    }

    /** Fails all requests that have no response yet; to be called when the process ends. */
    public void failOpenRequests() {
        openRequests.failAll();
    }

    /**
     * Ends the requests whose deadline has passed, after the process or its loop stalled for {@code stallNanos}.
     * Otherwise their clients would wait until all input that arrived during the stall has been processed.
     */
    public void endOverdueRequests(long stallNanos) {
        double stallMillis = stallNanos / NANOS_PER_MILLI;
        int ended = openRequests.endOverdue(nowMillis(), stallMillis);
        if (ended > 0) {
            log.info("loop: stalled, stall_ms=" + (long) stallMillis + " overdue_requests=" + ended);
        }
    }

    // --- events of the endpoint watch and of operators

    @Override
    public void onWatchStarting(EndpointRegistry.EndpointList cached, Runnable watchOpener) {
        openWatch = watchOpener;
        events.deliver(null, () -> balancer.onStart(nowMillis()));
        onEndpointList(WatchEvent.CACHED, cached);
    }

    /** Returns the hosts by name and id. */
    public EndpointRegistry endpoints() {
        return endpoints;
    }

    @Override
    public void onEndpointList(WatchEvent kind, EndpointRegistry.EndpointList list) {
        endpointLists.apply(kind, endpoints.withStartTimes(list, kind == WatchEvent.CACHED, nowMillis()));
    }

    @Override
    public void onWatchFailed() {
        events.deliver(null, () -> balancer.onWatchEvent(nowMillis(), WatchEvent.FAILED, null));
    }

    /**
     * Notifies the balancer of hosts that have changed.
     *
     * @param unusable the hosts that may no longer receive requests, or not at their previous address
     */
    void onEndpointsChanged(WatchEvent kind, List<EndpointEntry> entries, Iterable<UpstreamHost> unusable) {
        events.deliver(null, () -> balancer.onWatchEvent(nowMillis(), kind, entries));
        for (UpstreamHost host : unusable) {
            // A host that drains or has moved must not receive the requests that wait for a connection to it.
            for (UpstreamCall call : upstreams.closeIdleAndTakeConnecting(host)) {
                call.onAbandonedBeforeSend();
            }
        }
    }

    /** Returns whether a host of this name is listed or disabled by operators. */
    public boolean isKnownHost(String name) {
        return disabledHosts.isKnownHost(name);
    }

    /** Disables or enables a host as an operator asked; returns false if the host is not known. */
    public boolean setDisabled(String name, boolean disabled) {
        return disabledHosts.setDisabled(name, disabled);
    }

    /** Adopts the disabled hosts of another process of this proxy; times in it are {@link #steadyUnixMillis}. */
    public void setDisabled(DisabledHostStore.Contents stored) {
        disabledHosts.adopt(stored);
    }

    // --- events of requests

    void onRequest(RequestExchange exchange, IncomingRequest request) {
        assert loop.inEventLoop();
        openRequests.add(exchange);
        events.deliver(exchange, () -> balancer.onRequest(nowMillis(), request));
    }

    /** Notifies the balancer that an upload has been received completely, with {@code remainingMillis} left. */
    void onRequestComplete(RequestExchange exchange, double remainingMillis) {
        events.deliver(exchange, () -> balancer.onRequestComplete(nowMillis(), exchange.id(), remainingMillis));
    }

    /** Notifies the balancer that an attempt of a request has ended. */
    void onAttemptEnded(RequestExchange exchange, AttemptResult result) {
        events.deliver(exchange, () -> balancer.onAttemptEnded(nowMillis(), exchange.id(), result));
    }

    /** Notifies the balancer that its timer is due; {@code exchange} is the request that it concerns, or null. */
    void onBalancerTimer(RequestExchange exchange, long token) {
        events.deliver(exchange, () -> balancer.onTimer(nowMillis(), token));
    }

    void onClientDisconnected(RequestExchange exchange) {
        events.deliver(exchange, () -> balancer.onClientDisconnected(nowMillis(), exchange.id()));
    }

    /** Removes a request that has ended with all of its attempts. */
    void onExchangeClosed(RequestExchange exchange) {
        openRequests.remove(exchange);
    }

    // --- other events

    /** Delivers an event to the balancer that concerns no single request. */
    void notifyBalancer(Consumer<Balancer> event) {
        events.deliver(null, () -> event.accept(balancer));
    }

    /** Does the periodic maintenance; to be called a few times a second. */
    public void runMaintenance() {
        endpointLists.removeExpired();
        if (peerGossip != null) {
            peerGossip.step(nowMillis(), endpoints.readyHostNames(), peerGossipListener);
        }
        upstreams.runMaintenance(endpoints.hosts());
        endpoints.removeUnused();
        metrics.setHosts(endpoints.listedCount(), balancer.avoidedHostCount());
    }

    // --- actions of the balancer that concern no request

    void openWatch() {
        openWatch.run();
    }

    /** Runs {@code action}, which concerns no request, after a delay (ms). */
    void schedule(double delayMillis, Runnable action) {
        schedule(delayMillis, action, cause -> log.error("balancer: timer failed", cause));
    }
}
