package rillyard.balancer;

/**
 * A sum whose value decays exponentially to zero as time passes. Times are milliseconds of a clock that never goes back,
 * which starts at 0. Not thread-safe.
 */
final class DecayingCounter {
    private final double timeConstantMillis;
    private double value;
    private double updatedAtMillis;

    /** Creates a counter at zero that decays to 1/e within {@code timeConstantMillis} ms. */
    DecayingCounter(double timeConstantMillis) {
        this.timeConstantMillis = timeConstantMillis;
    }

    /** Returns what is left of the sum at {@code nowMillis}. */
    double valueAt(double nowMillis) {
        return value * decayFactor(nowMillis);
    }

    /** Returns the sum as of its last change, without the decay since. */
    double lastValue() {
        return value;
    }

    /** Returns the part, from 0 to 1, that is left at {@code nowMillis} of the value at its last change. */
    double decayFactor(double nowMillis) {
        return Math.exp(-(nowMillis - updatedAtMillis) / timeConstantMillis);
    }

    /** Adds {@code amount} to what is left of the sum. */
    void add(double nowMillis, double amount) {
        set(nowMillis, valueAt(nowMillis) + amount);
    }

    /** Replaces the sum. */
    void set(double nowMillis, double newValue) {
        value = newValue;
        updatedAtMillis = nowMillis;
    }
}
