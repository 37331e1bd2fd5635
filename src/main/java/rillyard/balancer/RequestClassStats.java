package rillyard.balancer;

/** A request class with its observed latency. Times are milliseconds. */
final class RequestClassStats {
    /** Mean latency assumed before the first response, as a fraction of the latency objective. */
    private static final double INITIAL_LATENCY_FRACTION = 0.25;

    /** Number of responses that the assumed latency counts as. */
    private static final int PRIOR_SAMPLES = 4;

    /** Weight of a response: half of the usual weight, as latencies vary more within a class than at one host. */
    private static final double LATENCY_SAMPLE_WEIGHT = Tuning.SAMPLE_WEIGHT / 2;

    private final Settings.RequestClass settings;
    private final MeanAndDeviation latency;
    private double firstAttemptTimeoutMillis; // recently observed timeout of clients' first attempts

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

    void onResponse(double latencyMillis) {
        latency.add(latencyMillis);
    }

    /**
     * Returns the remaining part of the latency objective, which starts with the client's first attempt; below 0 if it
     * is past. A request with less time than first attempts have is taken for a client's retry, so that retries that
     * are already late don't displace requests that are in time. Limit: a client that always sets shorter timeouts is
     * shed first in an overload.
     */
    double remainingObjectiveMillis(double remainingMillis) {
        double timeMillis = Math.min(remainingMillis, settings.deadlineMillis());
        double decayed =
                firstAttemptTimeoutMillis + Tuning.DEADLINE_SAMPLE_WEIGHT * (timeMillis - firstAttemptTimeoutMillis);
        firstAttemptTimeoutMillis = Math.max(timeMillis, decayed);
        if (timeMillis >= Tuning.RETRY_DEADLINE_FRACTION * firstAttemptTimeoutMillis) {
            return settings.latencyObjectiveMillis();
        }
        double elapsedMillis = settings.deadlineMillis() - timeMillis;
        return settings.latencyObjectiveMillis() - elapsedMillis;
    }

    /** Returns whether a request with this remaining objective would be late at the currently observed latency. */
    boolean isTooLate(double remainingObjectiveMillis) {
        return remainingObjectiveMillis < Math.min(meanLatencyMillis(), settings.latencyObjectiveMillis());
    }

    /**
     * Returns the age after which an attempt is overdue. Hedging earlier would duplicate the work of attempts that just
     * take long.
     */
    double overdueAfterMillis() {
        return meanLatencyMillis() + Tuning.OVERDUE_DEVIATIONS * latency.deviation();
    }

    /**
     * Returns the minimum time a host must have had for a timeout to be evidence about the host: the mean latency,
     * while that is short. A mean above the initially assumed latency may be caused by an overload, in which timeouts
     * have to count.
     */
    double minConclusiveTimeoutMillis() {
        return Math.min(meanLatencyMillis(), INITIAL_LATENCY_FRACTION * settings.latencyObjectiveMillis());
    }

    /** Returns whether a request that may have been executed may be sent again at all. */
    boolean isRepeatable() {
        return settings.semantics() != Settings.Semantics.AT_MOST_ONCE;
    }
}
