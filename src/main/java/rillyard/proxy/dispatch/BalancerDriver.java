package rillyard.proxy.dispatch;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.List;
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
 * Runs the {@link Balancer} on the event loop: delivers its events and has its actions carried out.
 *
 * <p>Confined to the event loop, except {@link #metrics}.
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
     * @param guard null where full endpoint lists are always believed
     * @param peerGossip null where there is none
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

    // --- what exchanges and attempts use

    /** Returns the time (ms) of the balancer's clock. */
    public double now() {
        return clock.now();
    }

    /** Returns Unix time (ms) that is never stepped: the wall clock at the start, run on by the monotonic one. Any thread. */
    public long steadyUnixMillis() {
        return (long) clock.toUnixMillis(clock.now());
    }

    /** Runs something on the loop after a delay, a negative one counts as 0; the handler gets what it throws. */
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

    /** Returns the counters of this proxy. Any thread. */
    public ProxyMetrics metrics() {
        return metrics;
    }

    OutcomeRecorder outcomeRecorder() {
        return outcomeRecorder;
    }

    // --- open requests

    /** Returns the number of requests that have not ended, or whose attempts have not. */
    public int openRequests() {
        return openRequests.size();
    }

    long nextRequestId() {
        return openRequests.nextId();
    }

    /** Returns whether a request with this id of a client's is open, or was until a moment ago. */
    public boolean isKnownRequestId(String requestId) {
        return openRequests.isKnown(requestId);
    }

    /** Fails all requests that have no response yet, as the process ends. */
    public void failOpenRequests() {
        openRequests.failAll();
    }

    /**
     * Ends the requests whose deadline has passed, after the process or its loop stalled for {@code stallNanos}: their
     * clients would otherwise wait behind all that has come meanwhile.
     */
    public void endOverdueRequests(long stallNanos) {
        double stallMillis = stallNanos / NANOS_PER_MILLI;
        int ended = openRequests.endOverdue(now(), stallMillis);
        if (ended > 0) {
            log.info("loop: stalled, stall_ms=" + (long) stallMillis + " overdue_requests=" + ended);
        }
    }

    // --- events of the endpoint watch and of operators

    @Override
    public void onWatchStarting(EndpointRegistry.EndpointList known, Runnable watchOpener) {
        openWatch = watchOpener;
        events.deliver(null, () -> balancer.onStart(now()));
        onEndpointList(WatchEvent.CACHED, known);
    }

    /** Returns the hosts by name and id. */
    public EndpointRegistry endpoints() {
        return endpoints;
    }

    @Override
    public void onEndpointList(WatchEvent kind, EndpointRegistry.EndpointList list) {
        endpointLists.apply(kind, endpoints.withStartTimes(list, kind == WatchEvent.CACHED, now()));
    }

    @Override
    public void onWatchFailed() {
        events.deliver(null, () -> balancer.onWatchEvent(now(), WatchEvent.FAILED, null));
    }

    /** Notifies the balancer of hosts that have changed; {@code unusable} are those that get nothing new from now on. */
    void onEndpointsChanged(WatchEvent kind, List<EndpointEntry> entries, Iterable<UpstreamHost> unusable) {
        events.deliver(null, () -> balancer.onWatchEvent(now(), kind, entries));
        for (UpstreamHost host : unusable) {
            // Nothing may be sent to a host that drains or has moved while a connection to it comes up.
            for (UpstreamCall call : upstreams.closeIdleAndConnecting(host)) {
                call.onNotNeeded();
            }
        }
    }

    /** Returns whether a host of this name is listed or disabled by operators. */
    public boolean isKnownHost(String name) {
        return disabledHosts.isKnownHost(name);
    }

    /** Disables or enables a host for operators; returns false if it is not known. */
    public boolean setDisabled(String name, boolean disabled) {
        return disabledHosts.setDisabled(name, disabled);
    }

    /** Takes over what operators asked of another process of this proxy; times in it are {@link #steadyUnixMillis}. */
    public void setDisabled(DisabledHostStore.Contents stored) {
        disabledHosts.adopt(stored);
    }

    // --- events of requests

    void onRequest(RequestExchange exchange, IncomingRequest request) {
        assert loop.inEventLoop();
        openRequests.add(exchange);
        events.deliver(exchange, () -> balancer.onRequest(now(), request));
    }

    /** An upload is complete and has {@code remainingMillis} left. */
    void onRequestComplete(RequestExchange exchange, double remainingMillis) {
        events.deliver(exchange, () -> balancer.onRequestComplete(now(), exchange.id(), remainingMillis));
    }

    /** An attempt of a request has ended. */
    void onAttemptEnded(RequestExchange exchange, AttemptResult result) {
        events.deliver(exchange, () -> balancer.onAttemptEnded(now(), exchange.id(), result));
    }

    /** A timer that the balancer asked for is due; {@code exchange} is the request it is about, or null. */
    void onBalancerTimer(RequestExchange exchange, long token) {
        events.deliver(exchange, () -> balancer.onTimer(now(), token));
    }

    void onClientDisconnected(RequestExchange exchange) {
        events.deliver(exchange, () -> balancer.onClientDisconnected(now(), exchange.id()));
    }

    /** A request and its attempts have ended. */
    void onExchangeClosed(RequestExchange exchange) {
        openRequests.remove(exchange);
    }

    // --- other events

    /** Notifies the balancer of something that no request is about. */
    void notifyBalancer(Consumer<Balancer> event) {
        events.deliver(null, () -> event.accept(balancer));
    }

    /** Does what is due from time to time; called a few times a second. */
    public void runMaintenance() {
        endpointLists.removeExpired();
        if (peerGossip != null) {
            peerGossip.step(now(), endpoints.readyHostNames(), peerGossipListener);
        }
        upstreams.runMaintenance(endpoints.hosts());
        endpoints.removeUnused();
        metrics.setHosts(endpoints.listedCount(), balancer.avoidedHostCount());
    }

    // --- what the balancer asks for beside requests

    void openWatch() {
        openWatch.run();
    }

    /** Runs something that is about no request after a delay (ms). */
    void schedule(double delayMillis, Runnable action) {
        schedule(delayMillis, action, cause -> log.error("balancer: timer failed", cause));
    }
}
