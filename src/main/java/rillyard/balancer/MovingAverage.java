package rillyard.balancer;

/** An average that moves towards each sample by a weight which the caller states. Not thread-safe. */
final class MovingAverage {
    private double value;

    MovingAverage(double initialValue) {
        this.value = initialValue;
    }

    double value() {
        return value;
    }

    /** Moves the average towards {@code sample} by {@code weight}, from 0 (not at all) to 1 (all of the way). */
    void add(double sample, double weight) {
        value += weight * (sample - value);
    }
}
