package rillyard.balancer;

/** Starts attempts at the hosts that {@link HostSelector} chooses, and cancels attempts. */
final class AttemptController {
    /**
     * Number of attempts from which no hedging timer is set: a request that three hosts don't answer in time is
     * expensive.
     */
    private static final int MAX_ATTEMPTS_WITH_TIMER = 3;

    private final Settings.Limits limits;
    private final HostSelector selector;
    private final RetryPolicy retryPolicy;
    private final LoadEstimator load;
    private final AdmissionController admission;
    private final BalancerActions actions;

    AttemptController(
            Settings.Limits limits,
            HostSelector selector,
            RetryPolicy retryPolicy,
            LoadEstimator load,
            AdmissionController admission,
            BalancerActions actions) {
        this.limits = limits;
        this.selector = selector;
        this.retryPolicy = retryPolicy;
        this.load = load;
        this.admission = admission;
        this.actions = actions;
    }

    /** Starts an attempt at a host that is expected to respond in time; returns false if there is none. */
    boolean start(RequestState request, double nowMillis) {
        // Under overload, no attempt is started that no host is expected to finish in time.
        request.limitExpectedLatency(Tuning.MAX_WAIT_FRACTION
                * Math.max(0, request.remainingObjectiveMillis())
                * Math.max(Tuning.MIN_QUOTA_WAIT_WEIGHT, request.quotaWeight()));
        return startWithinLimit(request, nowMillis);
    }

    /**
     * Starts an attempt within the limit on the expected latency that {@link #start} has set; returns false if no host
     * is eligible.
     */
    boolean startWithinLimit(RequestState request, double nowMillis) {
        HostState host = selector.select(request, nowMillis);
        if (host == null) {
            return false;
        }
        send(request, host, nowMillis);
        return true;
    }

    private void send(RequestState request, HostState host, double nowMillis) {
        double notAfterMillis = retryPolicy.notAfterMillis(request);
        retryPolicy.start(request, host, nowMillis, load.outstandingNow(host, nowMillis));
        admission.onInFlightChange(nowMillis, 1);
        actions.send(request.id(), host.id(), 0, notAfterMillis);
        scheduleHedging(request, host, nowMillis);
    }

    private void scheduleHedging(RequestState request, HostState host, double nowMillis) {
        RequestClassStats requestClass = request.requestClass();
        double overdueAfterMillis = requestClass.overdueAfterMillis() * Math.max(1, load.slowness(host, nowMillis));
        if (requestClass.isRepeatable()
                && nowMillis + overdueAfterMillis < request.deadlineMillis()
                && request.attempts().size() < MAX_ATTEMPTS_WITH_TIMER) {
            actions.scheduleTimer(overdueAfterMillis, request.id());
        }
    }

    /** Cancels an attempt in flight, unless it has been cancelled already or the settings forbid cancellation. */
    void cancel(AttemptState attempt) {
        if (attempt.isOpen() && !attempt.isCancelled() && limits.mayCancel()) {
            attempt.cancel();
            actions.cancel(attempt.request().id(), attempt.number());
        }
    }
}
