package rillyard.loadgen;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** Draws an index in proportion to weights. */
final class WeightedSampler {
    private final double[] cumulativeWeights;

    /** Weights are 0 or more, one of them above 0. */
    WeightedSampler(double[] weights) {
        cumulativeWeights = weights.clone();
        for (int i = 1; i < cumulativeWeights.length; i++) {
            cumulativeWeights[i] += cumulativeWeights[i - 1];
        }
    }

    /** Zipf's weights, 1 / k^skew. */
    static WeightedSampler zipf(int count, double skew) {
        double[] weights = new double[count];
        for (int i = 0; i < count; i++) {
            weights[i] = Math.pow(i + 1, -skew);
        }
        return new WeightedSampler(weights);
    }

    int sample(RandomGenerator random) {
        double drawn = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
        int index = Arrays.binarySearch(cumulativeWeights, drawn);
        // An exact hit belongs to the next one, as a weight of 0 must never be drawn.
        return Math.min(cumulativeWeights.length - 1, index < 0 ? -index - 1 : index + 1);
    }
}
