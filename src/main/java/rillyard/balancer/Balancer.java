package rillyard.balancer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The decisions of one client proxy: which host gets an attempt, when to retry, to hedge, to reject. It is fed events with
 * the time in ms, from a clock that never goes back, and answers through {@link BalancerActions}. Not thread-safe.
 */
public final class Balancer {
    private static final long SUBSCRIBE_TOKEN = -1;

    private final Settings settings;
    private final BalancerActions actions;
    private final SplittableRandom random;
    private final HostSet hosts;
    private final LoadEstimator load;
    private final OutlierDetector outliers;
    private final RetryPolicy retryPolicy;
    private final RetryBudget retryBudget = new RetryBudget();
    private final AdmissionController admission;
    private final TenantQuotas quotas;
    private final HostSelector selector;
    private final Map<String, RequestClassStats> classes = new HashMap<>();
    private final Map<Long, RequestState> requests = new HashMap<>();
    private double subscribeBackoff = Tuning.BASE_SUBSCRIBE_BACKOFF_MILLIS;
    private boolean subscribePending;

    /** Creates a balancer that knows no host yet; with the same seed and events it takes the same actions. */
    public Balancer(Settings settings, long seed, BalancerActions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.hosts = new HostSet(settings);
        this.load = new LoadEstimator(settings);
        this.outliers = new OutlierDetector(hosts, settings.meanLatencyObjective(), random, actions);
        this.retryPolicy = new RetryPolicy(settings.limits());
        this.admission = new AdmissionController(settings, random, actions);
        this.quotas = new TenantQuotas(settings.tenants(), settings.overQuotaWeight());
        this.selector = new HostSelector(settings, hosts, load, outliers, retryPolicy, admission, random);
        settings.classes().forEach(each -> classes.put(each.name(), new RequestClassStats(each)));
    }

    /** Starts the balancer: called once, before any other event. */
    public void onStart(double now) {
        if (settings.mustSubscribe()) {
            actions.subscribe();
        }
    }

    /** Applies an event of the watch on the endpoint list; {@code entries} is ignored if it is a failure. */
    public void onWatchEvent(double now, WatchEvent event, List<EndpointEntry> entries) {
        hosts.apply(now, event, entries, random);
        if (event == WatchEvent.FAILED && settings.mustSubscribe() && !subscribePending) {
            // Discovery may be overloaded: backs off with jitter, but never past what a change of the list allows.
            subscribePending = true;
            actions.scheduleTimer(subscribeBackoff * (0.5 + random.nextDouble()), SUBSCRIBE_TOKEN);
            double most = settings.rules().pollInterval(Tuning.MAX_SUBSCRIBE_BACKOFF_MILLIS);
            subscribeBackoff = Math.min(2 * subscribeBackoff, most);
        } else if (event == WatchEvent.DELTA || event == WatchEvent.FULL) {
            subscribeBackoff = Tuning.BASE_SUBSCRIBE_BACKOFF_MILLIS;
        }
    }

    /** Returns the number of listed hosts that get no requests in the ordinary way: not ready, or ejected. */
    public int avoidedHostCount() {
        return hosts.avoidedHostCount();
    }

    /** Applies the fleet's decision to eject a host or to take it back; it may be probed in {@code probeAfter} ms. */
    public void onFleetEjection(double now, long hostId, boolean ejected, double probeAfter) {
        HostState host = hosts.get(hostId);
        if (host != null) {
            outliers.onFleetEjection(host, ejected, now + probeAfter);
        }
    }

    /** Moves this proxy's subset to another position than the settings' one. */
    public void onSubsetPosition(SubsetPosition position) {
        selector.moveSubset(position);
    }

    /** Records that a request which arrived with infinite time is complete; {@code remainingTime} ms are left for it. */
    public void onRequestComplete(double now, long requestId, double remainingTime) {
        RequestState request = requests.get(requestId);
        if (request != null) {
            request.complete(now, remainingTime);
        }
    }

    /** Handles a client's request that is complete, or of which so much has come that the rest must be streamed. */
    public void onRequest(double now, IncomingRequest incoming) {
        RequestClassStats requestClass = classes.computeIfAbsent(
                incoming.requestClass(), name -> strictestClass(name, incoming.remainingTime()));
        admission.onRequest(now, requestClass.settings());
        double weight = quotas.onRequest(now, incoming.tenant());
        RequestState request = new RequestState(incoming.id(), requestClass, now, incoming.remainingTime(), weight);
        retryBudget.onRequest();
        requests.put(request.id(), request);
        if (admission.sheds(now, request)) {
            admission.onEnded(false);
            conclude(request, now);
        } else {
            startAttempt(request, now);
        }
    }

    /** Returns a class that the settings do not name: nothing is assumed to be repeatable. */
    private static RequestClassStats strictestClass(String name, double remainingTime) {
        double deadline = Math.max(1, remainingTime);
        return new RequestClassStats(new Settings.RequestClass(
                name, deadline, deadline, Settings.Semantics.AT_MOST_ONCE, Settings.Scope.ALL, 0, 1, 0));
    }

    /** Handles the end of an attempt. One that is not known, or has ended already, is ignored. */
    public void onAttemptEnded(double now, long requestId, AttemptResult result) {
        RequestState request = requests.get(requestId);
        AttemptState attempt = request == null ? null : request.openAttempt(result.attempt());
        if (attempt == null) {
            return;
        }
        attempt.end(result.outcome());
        admission.onInFlightChange(now, -1);
        // A host that rejects requests is idle, which tells nothing of the others.
        load.onReport(attempt.host(), now, result.report(), result.outcome() != AttemptOutcome.REJECTED);
        learn(attempt, result, now);
        if (result.requestEnded() && !request.isEnded()) {
            endAndCancelAttempts(request);
        } else if (!request.isEnded()) {
            retry(request, now);
        }
        forgetIfDone(request);
    }

    private void learn(AttemptState attempt, AttemptResult result, double now) {
        HostState host = attempt.host();
        admission.onEnded(result.outcome() == AttemptOutcome.OK);
        if (result.outcome() == AttemptOutcome.TIMEOUT || result.outcome() == AttemptOutcome.RESET) {
            outliers.onAttemptEnded(host, attempt.requestClass(), now, true);
        }
        switch (result.outcome()) {
            case OK -> learnFromAnswer(attempt, now, result.latency());
            case ERROR -> outliers.onFailure(host, now, true);
            case REJECTED -> {
                outliers.onRejection(host, now);
                admission.onNoAnswer(now);
            }
            case TIMEOUT -> {
                if (!OutlierDetector.isOvertaken(attempt)) {
                    outliers.onFailure(host, now, false);
                    admission.onNoAnswer(now);
                }
            }
            case RESET, CONNECT_FAILED -> outliers.onFailure(host, now, false);
            default -> {} // cancelled, not sent or a local failure: tells nothing of the host
        }
    }

    private void learnFromAnswer(AttemptState attempt, double now, double latency) {
        HostState host = attempt.host();
        RequestClassStats requestClass = attempt.requestClass();
        outliers.onAttemptEnded(host, requestClass, now, false);
        outliers.onSuccess(host, now);
        host.attemptAnswered(attempt);
        load.onAnswer(host, now, latency / Math.max(0.1, requestClass.meanLatency()));
        requestClass.onAnswer(latency);
        load.onQueuedAnswer(host, attempt.outstandingAtSend(), latency);
        admission.onAnswer(now, latency / requestClass.settings().latencyObjective());
    }

    private void retry(RequestState request, double now) {
        if (request.openAttempts() > 0) {
            return; // another attempt may still be answered
        }
        boolean hasTime = now < request.deadline() - Tuning.MIN_REMAINING_MILLIS;
        if (hasTime && !admission.isOverloaded(now) && retryBudget.tryTake()) {
            startAttempt(request, now);
        } else {
            conclude(request, now);
        }
    }

    /** Ends a request whose client has gone; attempts in flight still get their outcome. */
    public void onClientDisconnected(double now, long requestId) {
        RequestState request = requests.get(requestId);
        if (request != null && !request.isEnded()) {
            endAndCancelAttempts(request);
            forgetIfDone(request);
        }
    }

    /** Handles a timer asked for by {@link BalancerActions#scheduleTimer}. */
    public void onTimer(double now, long token) {
        if (token == SUBSCRIBE_TOKEN) {
            subscribePending = false;
            actions.subscribe();
            return;
        }
        RequestState request = requests.get(token);
        if (request != null && !request.isEnded() && request.openAttempts() > 0) {
            hedge(request, now);
        }
    }

    /** Hedges an overdue request; where only one attempt may be in flight, cancels it so that a retry can follow. */
    private void hedge(RequestState request, double now) {
        AttemptState last = request.attempts().get(request.attempts().size() - 1);
        double overdueAfter = 0.99 * last.requestClass().overdueAfter();
        if (now >= request.deadline() - Tuning.MIN_REMAINING_MILLIS
                || admission.pressure(now) > Tuning.SHED_PRESSURE
                || !(OutlierDetector.isOvertaken(last) || outliers.isUnresponsive(last.host(), now, overdueAfter))) {
            return; // copies of requests that merely take long would feed an overload
        }
        if (settings.limits().mayRunParallelAttempts()) {
            HostState host = retryBudget.tryTake() ? selector.select(request, now) : null;
            if (host != null) {
                send(request, host, now);
            }
        } else if (settings.limits().mayCancel() && !last.isCancelled()) {
            cancel(last);
        }
    }

    private void startAttempt(RequestState request, double now) {
        // Under overload: no work is begun that no host can finish in time.
        request.limitExpectedLatency(Tuning.MAX_WAIT_FRACTION
                * Math.max(0, request.remainingObjective())
                * Math.max(Tuning.MIN_QUOTA_WAIT_WEIGHT, request.quotaWeight()));
        HostState host = selector.select(request, now);
        if (host == null) {
            conclude(request, now);
        } else {
            send(request, host, now);
        }
    }

    private void send(RequestState request, HostState host, double now) {
        double notAfter = retryPolicy.notAfter(request);
        retryPolicy.start(request, host, now, load.outstandingNow(host, now));
        admission.onInFlightChange(now, 1);
        actions.send(request.id(), host.id(), 0, notAfter);
        RequestClassStats requestClass = request.requestClass();
        double overdueAfter = requestClass.overdueAfter() * Math.max(1, load.slowness(host, now));
        if (requestClass.isRepeatable()
                && now + overdueAfter < request.deadline()
                && request.attempts().size() < 3) {
            actions.scheduleTimer(overdueAfter, request.id());
        }
    }

    /** Gives the final answer, where no attempt can bring it any more. */
    private void conclude(RequestState request, double now) {
        if (retryPolicy.permits(request, null, now)) {
            admission.onRejected(now, request);
            actions.reject(request.id(), 0);
        } else {
            actions.fail(request.id());
        }
        request.end();
        forgetIfDone(request);
    }

    private void endAndCancelAttempts(RequestState request) {
        request.end();
        for (AttemptState attempt : request.attempts()) {
            if (attempt.isOpen() && !attempt.isCancelled() && settings.limits().mayCancel()) {
                cancel(attempt);
            }
        }
    }

    private void cancel(AttemptState attempt) {
        attempt.cancel();
        actions.cancel(attempt.request().id(), attempt.number());
    }

    private void forgetIfDone(RequestState request) {
        if (request.isEnded() && request.openAttempts() == 0) {
            requests.remove(request.id());
        }
    }
}
