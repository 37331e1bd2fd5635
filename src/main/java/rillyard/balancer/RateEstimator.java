package rillyard.balancer;

/** Estimates the rate of events with an exponential memory that is corrected while it is not yet full. Not thread-safe. */
final class RateEstimator {
    private final double timeConstant;
    private final double minWindow;
    private final DecayingCounter rate;
    private double firstAt = Double.NaN;

    /**
     * Creates an estimator without events.
     *
     * @param timeConstant time (ms) after which an event counts 1/e
     * @param minWindow least time (ms) over which the rate is taken
     */
    RateEstimator(double timeConstant, double minWindow) {
        this.timeConstant = timeConstant;
        this.minWindow = minWindow;
        this.rate = new DecayingCounter(timeConstant);
    }

    void onEvent(double now) {
        firstAt = Double.isNaN(firstAt) ? now : firstAt;
        rate.add(now, 1 / timeConstant);
    }

    /** Returns the events per ms. */
    double rate(double now) {
        double observed = 1 - Math.exp(-(now - firstAt + minWindow) / timeConstant);
        return rate.valueAt(now) / (observed > 0 ? observed : 1);
    }
}
