package rillyard.balancer;

/** A number and its recent peak, which decays exponentially but never below the number. Not thread-safe. */
final class DecayingPeak {
    private final DecayingCounter peak;
    private int current;

    /** Creates a peak of 0 that decays to 1/e within {@code timeConstantMillis} ms. */
    DecayingPeak(double timeConstantMillis) {
        this.peak = new DecayingCounter(timeConstantMillis);
    }

    void add(double nowMillis, int change) {
        current += change;
        peak.set(nowMillis, valueAt(nowMillis));
    }

    /** Sets the number. The peak so far decays from now on, however long ago it was reached. */
    void set(double nowMillis, int newNumber) {
        peak.set(nowMillis, valueAt(nowMillis));
        current = newNumber;
    }

    /** Returns the recent peak, at least the current number. */
    double valueAt(double nowMillis) {
        return Math.max(current, peak.valueAt(nowMillis));
    }
}
