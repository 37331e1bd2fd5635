package rillyard.balancer;

/** A class of requests with the latency observed for it. Times are milliseconds. */
final class RequestClassStats {
    /** Mean latency assumed before the first answer, as a part of the latency objective. */
    private static final double INITIAL_LATENCY_FRACTION = 0.25;

    /** Answers for which the assumed latency counts. */
    private static final int PRIOR_SAMPLES = 4;

    /** Weight of an answer: half of the usual one, as latencies of a class vary more than those of a host. */
    private static final double LATENCY_SAMPLE_WEIGHT = Tuning.SAMPLE_WEIGHT / 2;

    private final Settings.RequestClass settings;
    private final MeanAndDeviation latency;
    private double firstAttemptTimeoutMillis; // the time that clients give their first attempts, as lately seen

    RequestClassStats(Settings.RequestClass settings) {
        this.settings = settings;
        double initialLatencyMillis = INITIAL_LATENCY_FRACTION * settings.latencyObjectiveMillis();
        this.latency = new MeanAndDeviation(initialLatencyMillis, PRIOR_SAMPLES, LATENCY_SAMPLE_WEIGHT);
    }

    Settings.RequestClass settings() {
        return settings;
    }

    double meanLatencyMillis() {
        return latency.mean();
    }

    void onAnswer(double millis) {
        latency.add(millis);
    }

    /**
     * Returns what is left of the latency objective, which runs from the client's first attempt, below 0 if it is past. A
     * request with less time than first attempts have is taken for a client's retry, so that retries which are late already
     * do not displace requests in time. Limit: a client that always asks for less time is shed first in an overload.
     */
    double remainingObjectiveMillis(double remainingMillis) {
        double timeMillis = Math.min(remainingMillis, settings.deadlineMillis());
        double decayed =
                firstAttemptTimeoutMillis + Tuning.DEADLINE_SAMPLE_WEIGHT * (timeMillis - firstAttemptTimeoutMillis);
        firstAttemptTimeoutMillis = Math.max(timeMillis, decayed);
        if (timeMillis >= Tuning.RETRY_DEADLINE_FRACTION * firstAttemptTimeoutMillis) {
            return settings.latencyObjectiveMillis();
        }
        double spentBeforeMillis = settings.deadlineMillis() - timeMillis;
        return settings.latencyObjectiveMillis() - spentBeforeMillis;
    }

    /** Whether a request with so much of its objective left would be late at the latency observed now. */
    boolean isTooLate(double remainingObjectiveMillis) {
        return remainingObjectiveMillis < Math.min(meanLatencyMillis(), settings.latencyObjectiveMillis());
    }

    /** Returns the age past which an attempt is overdue; earlier hedging would waste the work of a merely long one. */
    double overdueAfterMillis() {
        return meanLatencyMillis() + Tuning.OVERDUE_DEVIATIONS * latency.deviation();
    }

    /**
     * Returns the least time given to a host from which a timeout tells of the host: the mean latency, while that is short. A
     * mean beyond the latency assumed at first may be that of an overload, of which timeouts have to tell.
     */
    double leastTellingTimeoutMillis() {
        return Math.min(meanLatencyMillis(), INITIAL_LATENCY_FRACTION * settings.latencyObjectiveMillis());
    }

    /** Whether an attempt that may have been executed may be repeated at all. */
    boolean isRepeatable() {
        return settings.semantics() != Settings.Semantics.AT_MOST_ONCE;
    }
}
