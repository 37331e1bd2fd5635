package rillyard.balancer;

/** A moving average and the mean absolute deviation from it. The first samples weigh more. Not thread-safe. */
final class MeanAndDeviation {
    private final MovingAverage mean;
    private final MovingAverage deviation;
    private final double minWeight;
    private final int priorSamples;
    private int samples;

    /**
     * Creates an average whose initial deviation equals its initial value.
     *
     * @param priorSamples number of samples that the initial value counts as
     * @param minWeight minimum weight of a sample, reached after many samples
     */
    MeanAndDeviation(double initialValue, int priorSamples, double minWeight) {
        this.mean = new MovingAverage(initialValue);
        this.deviation = new MovingAverage(initialValue);
        this.priorSamples = priorSamples;
        this.minWeight = minWeight;
    }

    double mean() {
        return mean.value();
    }

    double deviation() {
        return deviation.value();
    }

    void add(double sample) {
        samples++;
        double weight = Math.max(1.0 / (samples + priorSamples), minWeight);
        deviation.add(Math.abs(sample - mean.value()), weight);
        mean.add(sample, weight);
    }
}
