package rillyard.balancer;

/**
 * A weighted moving average that decays exponentially to a baseline while no samples come. The baseline is zero unless the
 * caller states another one. Times are milliseconds of a clock that never goes back. Not thread-safe.
 */
final class DecayingAverage {
    private final double timeConstant;
    private double value;
    private double updatedAt;

    /**
     * Creates an average with an initial value.
     *
     * @param timeConstant time (ms) in which the distance from the baseline decays to 1/e
     * @param updatedAt time of the initial value; negative infinity if it is to count for nothing
     */
    DecayingAverage(double timeConstant, double initialValue, double updatedAt) {
        this.timeConstant = timeConstant;
        this.value = initialValue;
        this.updatedAt = updatedAt;
    }

    /** Returns the average at {@code now}, decayed to zero. */
    double valueAt(double now) {
        return valueAt(now, 0);
    }

    /** Returns the average at {@code now}, decayed to {@code baseline}. */
    double valueAt(double now, double baseline) {
        return baseline + (value - baseline) * decayFactor(now);
    }

    /** Returns the average as of its last change, without the decay since. */
    double lastValue() {
        return value;
    }

    /** Returns the part, from 0 to 1, that is left at {@code now} of the distance from the baseline. */
    double decayFactor(double now) {
        return Math.exp(-millisSinceUpdate(now) / timeConstant);
    }

    /** Returns the time since the last change. */
    double millisSinceUpdate(double now) {
        return now - updatedAt;
    }

    /** Moves the decayed average towards {@code sample} by {@code weight}, from 0 to 1. */
    void add(double now, double sample, double weight) {
        add(now, 0, sample, weight);
    }

    /** As {@link #add(double, double, double)}, for an average that decays to {@code baseline}. */
    void add(double now, double baseline, double sample, double weight) {
        double decayed = valueAt(now, baseline);
        set(now, decayed + weight * (sample - decayed));
    }

    /** Makes the decay up to {@code now} permanent without adding a sample. */
    void decay(double now) {
        set(now, valueAt(now));
    }

    private void set(double now, double newValue) {
        value = newValue;
        updatedAt = now;
    }
}
