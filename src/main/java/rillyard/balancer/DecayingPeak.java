package rillyard.balancer;

/** A changing number together with its recent peak, which decays exponentially to the number. Not thread-safe. */
final class DecayingPeak {
    private final DecayingCounter peak;
    private int current;

    /** Creates a peak at 0 whose distance decays to 1/e within {@code timeConstant} ms. */
    DecayingPeak(double timeConstant) {
        this.peak = new DecayingCounter(timeConstant);
    }

    void add(double now, int change) {
        current += change;
        peak.set(now, valueAt(now));
    }

    /** Returns the recent peak, at least the current number. */
    double valueAt(double now) {
        return Math.max(current, peak.valueAt(now));
    }
}
