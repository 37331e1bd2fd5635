package rillyard.balancer;

/** Learns from the end of each attempt: what it tells of the host, of its class, and of the load on all hosts. */
final class OutcomeLearner {
    /** The least mean latency by which a host's latency is divided. */
    private static final double MIN_MEAN_LATENCY_MILLIS = 0.1;

    private final LoadEstimator load;
    private final OutlierDetector outliers;
    private final AdmissionController admission;

    OutcomeLearner(LoadEstimator load, OutlierDetector outliers, AdmissionController admission) {
        this.load = load;
        this.outliers = outliers;
        this.admission = admission;
    }

    /** Applies the result of an attempt, which is recorded as ended already. */
    void onAttemptEnded(AttemptState attempt, AttemptResult result, double nowMillis) {
        HostState host = attempt.host();
        AttemptOutcome outcome = result.outcome();
        admission.onInFlightChange(nowMillis, -1);
        // A host that rejects requests is idle, which tells nothing of the others.
        load.onReport(host, nowMillis, result.report(), outcome != AttemptOutcome.REJECTED);
        admission.onEnded(outcome == AttemptOutcome.OK);
        switch (outcome) {
            case OK -> onAnswer(attempt, result.latencyMillis(), nowMillis);
            case ERROR -> outliers.onFailure(host, nowMillis, true);
            case REJECTED -> onRejection(host, nowMillis);
            case TIMEOUT -> onTimeout(attempt, nowMillis);
            case RESET -> onReset(attempt, nowMillis);
            case CONNECT_FAILED -> outliers.onFailure(host, nowMillis, false);
            case CANCELLED, NOT_SENT, LOCAL_FAILURE -> {} // tells nothing of the host
        }
    }

    private void onAnswer(AttemptState attempt, double latencyMillis, double nowMillis) {
        HostState host = attempt.host();
        RequestClassStats requestClass = attempt.requestClass();
        outliers.onAttemptEnded(host, requestClass, nowMillis, false);
        outliers.onSuccess(host, nowMillis);
        host.attemptAnswered(attempt);
        double meanLatencyMillis = Math.max(MIN_MEAN_LATENCY_MILLIS, requestClass.meanLatencyMillis());
        load.onAnswer(host, nowMillis, latencyMillis / meanLatencyMillis);
        requestClass.onAnswer(latencyMillis);
        load.onQueuedAnswer(host, attempt.outstandingAtSend(), latencyMillis);
        admission.onAnswer(nowMillis, latencyMillis / requestClass.settings().latencyObjectiveMillis());
    }

    private void onRejection(HostState host, double nowMillis) {
        outliers.onRejection(host, nowMillis);
        admission.onNoAnswer(nowMillis);
    }

    private void onTimeout(AttemptState attempt, double nowMillis) {
        if (hadTooLittleTime(attempt)) {
            return;
        }
        outliers.onAttemptEnded(attempt.host(), attempt.requestClass(), nowMillis, true);
        if (!OutlierDetector.isOvertaken(attempt)) {
            outliers.onFailure(attempt.host(), nowMillis, false);
            admission.onNoAnswer(nowMillis);
        }
    }

    /** Whether the client gave the host less time than an answer usually takes, which tells nothing of the host. */
    private static boolean hadTooLittleTime(AttemptState attempt) {
        double givenMillis = attempt.request().deadlineMillis() - attempt.sentAtMillis();
        return givenMillis < attempt.requestClass().leastTellingTimeoutMillis();
    }

    private void onReset(AttemptState attempt, double nowMillis) {
        outliers.onAttemptEnded(attempt.host(), attempt.requestClass(), nowMillis, true);
        outliers.onFailure(attempt.host(), nowMillis, false);
    }
}
