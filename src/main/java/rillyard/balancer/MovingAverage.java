package rillyard.balancer;

/** A moving average in which the caller sets the weight of each sample. Not thread-safe. */
final class MovingAverage {
    private double value;

    MovingAverage(double initialValue) {
        this.value = initialValue;
    }

    double value() {
        return value;
    }

    /** Moves the average towards {@code sample} by {@code weight}, from 0 (unchanged) to 1 (replaced by the sample). */
    void add(double sample, double weight) {
        value += weight * (sample - value);
    }
}
