package rillyard.balancer;

/** Updates the statistics of the host, of the request class and of the load on all hosts when an attempt ends. */
final class AttemptOutcomeHandler {
    /** Minimum mean latency by which a host's latency is divided. */
    private static final double MIN_MEAN_LATENCY_MILLIS = 0.1;

    private final LoadEstimator load;
    private final OutlierDetector outliers;
    private final AdmissionController admission;

    AttemptOutcomeHandler(LoadEstimator load, OutlierDetector outliers, AdmissionController admission) {
        this.load = load;
        this.outliers = outliers;
        this.admission = admission;
    }

    /** Applies the result of an attempt, which has been recorded as ended before. */
    void onAttemptEnded(AttemptState attempt, AttemptResult result, double nowMillis) {
        HostState host = attempt.host();
        AttemptOutcome outcome = result.outcome();
        admission.onInFlightChange(nowMillis, -1);
        // A host that rejects requests is idle, which is no evidence about the other hosts.
        load.onReport(host, nowMillis, result.report(), outcome != AttemptOutcome.REJECTED);
        admission.onEnded(outcome == AttemptOutcome.OK);
        switch (outcome) {
            case OK -> onResponse(attempt, result.latencyMillis(), nowMillis);
            case ERROR -> outliers.onFailure(host, nowMillis, true);
            case REJECTED -> onRejection(host, nowMillis);
            case TIMEOUT -> onTimeout(attempt, nowMillis);
            case RESET -> onReset(attempt, nowMillis);
            case CONNECT_FAILED -> outliers.onFailure(host, nowMillis, false);
            case CANCELLED, NOT_SENT, LOCAL_FAILURE -> {} // no evidence about the host
        }
    }

    private void onResponse(AttemptState attempt, double latencyMillis, double nowMillis) {
        HostState host = attempt.host();
        RequestClassStats requestClass = attempt.requestClass();
        outliers.onAttemptEnded(host, requestClass, nowMillis, false);
        outliers.onSuccess(host, nowMillis);
        host.attemptSucceeded(attempt);
        double meanLatencyMillis = Math.max(MIN_MEAN_LATENCY_MILLIS, requestClass.meanLatencyMillis());
        load.onResponse(host, nowMillis, latencyMillis / meanLatencyMillis);
        requestClass.onResponse(latencyMillis);
        load.onQueuedResponse(host, attempt.outstandingAtSend(), latencyMillis);
        admission.onResponse(nowMillis, latencyMillis / requestClass.settings().latencyObjectiveMillis());
    }

    private void onRejection(HostState host, double nowMillis) {
        outliers.onRejection(host, nowMillis);
        admission.onRejectionOrTimeout(nowMillis);
    }

    private void onTimeout(AttemptState attempt, double nowMillis) {
        if (hadTooLittleTime(attempt)) {
            return;
        }
        outliers.onAttemptEnded(attempt.host(), attempt.requestClass(), nowMillis, true);
        if (!OutlierDetector.isOvertaken(attempt)) {
            outliers.onFailure(attempt.host(), nowMillis, false);
            admission.onRejectionOrTimeout(nowMillis);
        }
    }

    /**
     * Returns whether the host had less time than a response usually takes, so that the timeout is no evidence about
     * the host.
     */
    private static boolean hadTooLittleTime(AttemptState attempt) {
        double availableMillis = attempt.request().deadlineMillis() - attempt.sentAtMillis();
        return availableMillis < attempt.requestClass().minConclusiveTimeoutMillis();
    }

    private void onReset(AttemptState attempt, double nowMillis) {
        outliers.onAttemptEnded(attempt.host(), attempt.requestClass(), nowMillis, true);
        outliers.onFailure(attempt.host(), nowMillis, false);
    }
}
