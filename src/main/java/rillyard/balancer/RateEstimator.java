package rillyard.balancer;

/**
 * Estimates the rate of events with exponential decay, corrected for the time before the first event. Not thread-safe.
 */
final class RateEstimator {
    private final double timeConstantMillis;
    private final double minWindowMillis;
    private final DecayingCounter rate;
    private double firstEventAtMillis = Double.NaN;

    /**
     * Creates an estimator without events.
     *
     * @param timeConstantMillis time (ms) after which an event's weight is 1/e
     * @param minWindowMillis minimum time (ms) over which the rate is averaged
     */
    RateEstimator(double timeConstantMillis, double minWindowMillis) {
        this.timeConstantMillis = timeConstantMillis;
        this.minWindowMillis = minWindowMillis;
        this.rate = new DecayingCounter(timeConstantMillis);
    }

    void onEvent(double nowMillis) {
        firstEventAtMillis = Double.isNaN(firstEventAtMillis) ? nowMillis : firstEventAtMillis;
        rate.add(nowMillis, 1 / timeConstantMillis);
    }

    /** Returns the rate in events per ms. */
    double rate(double nowMillis) {
        double observedFraction =
                1 - Math.exp(-(nowMillis - firstEventAtMillis + minWindowMillis) / timeConstantMillis);
        return rate.valueAt(nowMillis) / (observedFraction > 0 ? observedFraction : 1);
    }
}
