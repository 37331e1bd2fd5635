package rillyard.balancer;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Makes the load-balancing decisions of one client proxy: which host gets an attempt, and when to retry, hedge or
 * reject. The caller passes in events with their time (ms of a clock that never goes back), and the balancer acts
 * through {@link BalancerActions}. This class dispatches each event to the components that decide on it. Not
 * thread-safe.
 */
public final class Balancer {
    private final SplittableRandom random;
    private final HostSet hosts;
    private final OutlierDetector outliers;
    private final RetryBudget retryBudget = new RetryBudget();
    private final AdmissionController admission;
    private final TenantQuotas quotas;
    private final HostSelector selector;
    private final SubscriptionBackoff subscription;
    private final RequestClasses classes;
    private final OpenRequests requests = new OpenRequests();
    private final AttemptOutcomeHandler outcomeHandler;
    private final AttemptController attempts;
    private final RetryController retries;
    private final RequestConclusion conclusion;

    /** Creates a balancer without hosts. With the same seed and the same events it takes the same actions. */
    public Balancer(Settings settings, long seed, BalancerActions actions) {
        Settings.Limits limits = settings.limits();
        LoadEstimator load = new LoadEstimator(settings);
        RetryPolicy retryPolicy = new RetryPolicy(limits);
        this.random = new SplittableRandom(seed);
        this.hosts = new HostSet(settings);
        this.outliers = new OutlierDetector(hosts, settings.meanLatencyObjectiveMillis(), random, actions);
        this.admission = new AdmissionController(settings, random, actions);
        this.quotas = new TenantQuotas(settings.tenants(), settings.overQuotaWeight());
        this.selector = new HostSelector(settings, hosts, load, outliers, retryPolicy, admission, random);
        this.subscription = new SubscriptionBackoff(settings, random, actions);
        this.classes = new RequestClasses(settings.classes());
        this.outcomeHandler = new AttemptOutcomeHandler(load, outliers, admission);
        this.attempts = new AttemptController(limits, selector, retryPolicy, load, admission, actions);
        this.retries = new RetryController(limits, retryBudget, admission, outliers, attempts);
        this.conclusion = new RequestConclusion(requests, attempts, retryPolicy, admission, actions);
    }

    /** Starts the balancer; called once, before any other event. */
    public void onStart(double nowMillis) {
        subscription.onStart();
    }

    /** Applies a watch event of the endpoint list; {@code entries} is ignored if the event is a failure. */
    public void onWatchEvent(double nowMillis, WatchEvent event, List<EndpointEntry> entries) {
        hosts.apply(nowMillis, event, entries, random);
        subscription.onWatchEvent(event);
    }

    /** Returns the number of listed hosts that normally get no requests: those that are not ready or are ejected. */
    public int avoidedHostCount() {
        return hosts.avoidedHostCount();
    }

    /**
     * Applies the fleet's decision to eject or to readmit a host, which may be probed after {@code probeAfterMillis}.
     */
    public void onFleetEjection(double nowMillis, long hostId, boolean ejected, double probeAfterMillis) {
        HostState host = hosts.get(hostId);
        if (host != null) {
            outliers.onFleetEjection(host, ejected, nowMillis + probeAfterMillis);
        }
    }

    /** Moves this proxy's subset to another position. The initial position is that of the settings. */
    public void onSubsetPosition(SubsetPosition position) {
        selector.moveSubset(position);
    }

    /**
     * Records that a request that arrived with an infinite remaining time is complete and has {@code remainingMillis}
     * left.
     */
    public void onRequestComplete(double nowMillis, long requestId, double remainingMillis) {
        RequestState request = requests.get(requestId);
        if (request != null) {
            request.complete(nowMillis, remainingMillis);
        }
    }

    /**
     * Handles a client's request that is complete, or of which enough has been received that the rest has to be
     * streamed.
     */
    public void onRequest(double nowMillis, IncomingRequest incoming) {
        double remainingMillis = incoming.remainingMillis();
        RequestClassStats requestClass = classes.get(incoming.requestClass(), remainingMillis);
        admission.onRequest(nowMillis, requestClass.settings());
        double quotaWeight = quotas.onRequest(nowMillis, incoming.tenant());
        RequestState request = new RequestState(incoming.id(), requestClass, nowMillis, remainingMillis, quotaWeight);
        retryBudget.onRequest(nowMillis);
        requests.add(request);
        if (admission.shouldShed(nowMillis, request)) {
            admission.onEnded(false);
            conclusion.rejectOrFail(request, nowMillis);
        } else if (!attempts.start(request, nowMillis)) {
            conclusion.rejectOrFail(request, nowMillis);
        }
    }

    /** Handles the end of an attempt. An attempt that is unknown or has ended already is ignored. */
    public void onAttemptEnded(double nowMillis, long requestId, AttemptResult result) {
        RequestState request = requests.get(requestId);
        AttemptState attempt = request == null ? null : request.openAttempt(result.attempt());
        if (attempt == null) {
            return;
        }
        attempt.end(result.outcome());
        outcomeHandler.onAttemptEnded(attempt, result, nowMillis);
        if (request.isEnded()) {
            requests.removeIfDone(request);
        } else if (result.requestEnded()) {
            conclusion.endAndCancelAttempts(request);
        } else if (request.openAttempts() == 0 && !retries.retry(request, nowMillis)) {
            conclusion.rejectOrFail(request, nowMillis);
        }
    }

    /** Ends a request whose client has disconnected; attempts in flight still report their outcome. */
    public void onClientDisconnected(double nowMillis, long requestId) {
        RequestState request = requests.awaitingResponse(requestId);
        if (request != null) {
            conclusion.endAndCancelAttempts(request);
        }
    }

    /** Handles the expiry of a timer set by {@link BalancerActions#scheduleTimer}. */
    public void onTimer(double nowMillis, long token) {
        if (token == SubscriptionBackoff.TIMER_TOKEN) {
            subscription.onTimer();
            return;
        }
        RequestState request = requests.awaitingResponse(token);
        if (request != null && request.openAttempts() > 0) {
            retries.hedge(request, nowMillis);
        }
    }
}
