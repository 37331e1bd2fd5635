package rillyard.loadgen;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** Draws an index in proportion to weights. */
final class WeightedSampler {
    private final double[] sums;

    /** Weights are 0 or more, one of them above 0. */
    WeightedSampler(double[] weights) {
        sums = weights.clone();
        for (int i = 1; i < sums.length; i++) {
            sums[i] += sums[i - 1];
        }
    }

    /** Zipf's weights, 1 / k^skew. */
    static WeightedSampler zipf(int count, double skew) {
        double[] w = new double[count];
        for (int i = 0; i < count; i++) {
            w[i] = Math.pow(i + 1, -skew);
        }
        return new WeightedSampler(w);
    }

    int sample(RandomGenerator random) {
        double at = random.nextDouble() * sums[sums.length - 1];
        int i = Arrays.binarySearch(sums, at);
        // An exact hit belongs to the next one, as a weight of 0 must never be drawn.
        return Math.min(sums.length - 1, i < 0 ? -i - 1 : i + 1);
    }
}
