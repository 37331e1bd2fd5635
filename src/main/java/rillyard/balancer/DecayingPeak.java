package rillyard.balancer;

/** A changing number together with its recent peak, which decays exponentially to the number. Not thread-safe. */
final class DecayingPeak {
    private final DecayingCounter peak;
    private int current;

    /** Creates a peak at 0 whose distance decays to 1/e within {@code timeConstantMillis} ms. */
    DecayingPeak(double timeConstantMillis) {
        this.peak = new DecayingCounter(timeConstantMillis);
    }

    void add(double nowMillis, int change) {
        current += change;
        peak.set(nowMillis, valueAt(nowMillis));
    }

    /** Sets the number; the peak of the time until now decays from now on, however long ago it was reached. */
    void set(double nowMillis, int newNumber) {
        peak.set(nowMillis, valueAt(nowMillis));
        current = newNumber;
    }

    /** Returns the recent peak, at least the current number. */
    double valueAt(double nowMillis) {
        return Math.max(current, peak.valueAt(nowMillis));
    }
}
