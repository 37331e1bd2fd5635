package rillyard.balancer;

/** A class of requests with the latency observed for it. Times are milliseconds. */
final class RequestClassStats {
    private final Settings.RequestClass settings;
    private final MeanAndDeviation latency;
    private double firstAttemptTime;

    RequestClassStats(Settings.RequestClass settings) {
        this.settings = settings;
        // The initial value holds until there are answers.
        this.latency = new MeanAndDeviation(settings.latencyObjective() / 4, 4, Tuning.SAMPLE_WEIGHT / 2);
    }

    Settings.RequestClass settings() {
        return settings;
    }

    double meanLatency() {
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
    double remainingObjective(double remainingTime) {
        double time = Math.min(remainingTime, settings.deadline());
        double decayed = firstAttemptTime + Tuning.DEADLINE_SAMPLE_WEIGHT * (time - firstAttemptTime);
        firstAttemptTime = Math.max(time, decayed);
        boolean retry = time < Tuning.RETRY_DEADLINE_FRACTION * firstAttemptTime;
        return settings.latencyObjective() - (retry ? settings.deadline() - time : 0);
    }

    /** Whether a request with so much of its objective left would be late at the latency observed now. */
    boolean isTooLate(double remainingObjective) {
        return remainingObjective < Math.min(meanLatency(), settings.latencyObjective());
    }

    /** Returns the age past which an attempt is overdue; earlier hedging would waste the work of a merely long one. */
    double overdueAfter() {
        return meanLatency() + Tuning.OVERDUE_DEVIATIONS * latency.deviation();
    }

    /** Whether an attempt that may have been executed may be repeated at all. */
    boolean isRepeatable() {
        return settings.semantics() != Settings.Semantics.AT_MOST_ONCE;
    }
}
