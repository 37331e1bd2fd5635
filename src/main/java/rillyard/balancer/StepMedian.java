package rillyard.balancer;

/**
 * Estimates the median of a stream of positive samples by moving the estimate a relative step towards each sample. Not
 * thread-safe.
 */
final class StepMedian {
    private final double step;
    private double value;

    StepMedian(double step) {
        this.step = step;
    }

    /** Returns the estimate, 0 before the first sample. */
    double value() {
        return value;
    }

    void add(double sample) {
        double direction = sample > value ? step : -step;
        value = value == 0 ? sample : value * (1 + direction);
    }
}
