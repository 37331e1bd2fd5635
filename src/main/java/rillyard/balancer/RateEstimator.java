package rillyard.balancer;

/** Estimates the rate of events with an exponential memory that is corrected while it is not yet full. Not thread-safe. */
final class RateEstimator {
    private final double timeConstantMillis;
    private final double minWindowMillis;
    private final DecayingCounter rate;
    private double firstAtMillis = Double.NaN;

    /**
     * Creates an estimator without events.
     *
     * @param timeConstantMillis time (ms) after which an event counts 1/e
     * @param minWindowMillis least time (ms) over which the rate is taken
     */
    RateEstimator(double timeConstantMillis, double minWindowMillis) {
        this.timeConstantMillis = timeConstantMillis;
        this.minWindowMillis = minWindowMillis;
        this.rate = new DecayingCounter(timeConstantMillis);
    }

    void onEvent(double nowMillis) {
        firstAtMillis = Double.isNaN(firstAtMillis) ? nowMillis : firstAtMillis;
        rate.add(nowMillis, 1 / timeConstantMillis);
    }

    /** Returns the events per ms. */
    double rate(double nowMillis) {
        double observed = 1 - Math.exp(-(nowMillis - firstAtMillis + minWindowMillis) / timeConstantMillis);
        return rate.valueAt(nowMillis) / (observed > 0 ? observed : 1);
    }
}
