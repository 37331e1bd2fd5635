package rillyard.balancer;

/**
 * A sum that decays exponentially to zero. Times are milliseconds of a clock that starts at 0 and never goes back. Not
 * thread-safe.
 */
final class DecayingCounter {
    private final double timeConstantMillis;
    private double value;
    private double updatedAtMillis;

    /** Creates a counter at zero that decays to 1/e within {@code timeConstantMillis} ms. */
    DecayingCounter(double timeConstantMillis) {
        this.timeConstantMillis = timeConstantMillis;
    }

    /** Returns the decayed sum at {@code nowMillis}. */
    double valueAt(double nowMillis) {
        return value * decayFactor(nowMillis);
    }

    /** Returns the sum as of its last update, without the decay since then. */
    double lastValue() {
        return value;
    }

    /** Returns the fraction, from 0 to 1, of the last updated value that remains at {@code nowMillis}. */
    double decayFactor(double nowMillis) {
        return Math.exp(-(nowMillis - updatedAtMillis) / timeConstantMillis);
    }

    /** Adds {@code amount} to the decayed sum. */
    void add(double nowMillis, double amount) {
        set(nowMillis, valueAt(nowMillis) + amount);
    }

    /** Replaces the sum. */
    void set(double nowMillis, double newValue) {
        value = newValue;
        updatedAtMillis = nowMillis;
    }
}
