package rillyard.balancer;

/**
 * A sum whose value decays exponentially to zero as time passes. Times are milliseconds of a clock that never goes back,
 * which starts at 0. Not thread-safe.
 */
final class DecayingCounter {
    private final double timeConstant;
    private double value;
    private double updatedAt;

    /** Creates a counter at zero that decays to 1/e within {@code timeConstant} ms. */
    DecayingCounter(double timeConstant) {
        this.timeConstant = timeConstant;
    }

    /** Returns what is left of the sum at {@code now}. */
    double valueAt(double now) {
        return value * decayFactor(now);
    }

    /** Returns the sum as of its last change, without the decay since. */
    double lastValue() {
        return value;
    }

    /** Returns the part, from 0 to 1, that is left at {@code now} of the value at its last change. */
    double decayFactor(double now) {
        return Math.exp(-(now - updatedAt) / timeConstant);
    }

    /** Adds {@code amount} to what is left of the sum. */
    void add(double now, double amount) {
        set(now, valueAt(now) + amount);
    }

    /** Replaces the sum. */
    void set(double now, double newValue) {
        value = newValue;
        updatedAt = now;
    }
}
