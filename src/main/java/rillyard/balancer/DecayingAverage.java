package rillyard.balancer;

/**
 * A weighted moving average that decays exponentially to a baseline while there are no samples. The baseline is zero
 * unless the caller passes another one. Times are milliseconds of a clock that never goes back. Not thread-safe.
 */
final class DecayingAverage {
    private final double timeConstantMillis;
    private double value;
    private double updatedAtMillis;

    /**
     * Creates an average with an initial value.
     *
     * @param timeConstantMillis time (ms) in which the distance from the baseline decays to 1/e
     * @param updatedAtMillis time of the initial value; negative infinity gives the initial value no weight
     */
    DecayingAverage(double timeConstantMillis, double initialValue, double updatedAtMillis) {
        this.timeConstantMillis = timeConstantMillis;
        this.value = initialValue;
        this.updatedAtMillis = updatedAtMillis;
    }

    /** Returns the average at {@code nowMillis}, decayed to zero. */
    double valueAt(double nowMillis) {
        return valueAt(nowMillis, 0);
    }

    /** Returns the average at {@code nowMillis}, decayed to {@code baseline}. */
    double valueAt(double nowMillis, double baseline) {
        return baseline + (value - baseline) * decayFactor(nowMillis);
    }

    /** Returns the average as of its last update, without the decay since then. */
    double lastValue() {
        return value;
    }

    /** Returns the fraction, from 0 to 1, of the distance from the baseline that remains at {@code nowMillis}. */
    double decayFactor(double nowMillis) {
        return Math.exp(-millisSinceUpdate(nowMillis) / timeConstantMillis);
    }

    /** Returns the time (ms) since the last update. */
    double millisSinceUpdate(double nowMillis) {
        return nowMillis - updatedAtMillis;
    }

    /** Moves the decayed average towards {@code sample} by {@code weight}, from 0 to 1. */
    void add(double nowMillis, double sample, double weight) {
        add(nowMillis, 0, sample, weight);
    }

    /** Adds a sample as {@link #add(double, double, double)} does, for an average that decays to {@code baseline}. */
    void add(double nowMillis, double baseline, double sample, double weight) {
        double decayed = valueAt(nowMillis, baseline);
        set(nowMillis, decayed + weight * (sample - decayed));
    }

    /** Makes the decay up to {@code nowMillis} permanent without adding a sample. */
    void decay(double nowMillis) {
        set(nowMillis, valueAt(nowMillis));
    }

    private void set(double nowMillis, double newValue) {
        value = newValue;
        updatedAtMillis = nowMillis;
    }
}
