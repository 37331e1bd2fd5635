package rillyard.loadgen;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** Draws an index with a probability proportional to its weight. Immutable. */
final class WeightedSampler {
    private final double[] cumulativeWeights;

    /** Creates a sampler. Weights are at least 0, and one of them is above 0. */
    WeightedSampler(double[] weights) {
        cumulativeWeights = weights.clone();
        for (int i = 1; i < cumulativeWeights.length; i++) {
            cumulativeWeights[i] += cumulativeWeights[i - 1];
        }
    }

    /** Returns a sampler with Zipf weights: index k has the weight 1 / (k + 1)^skew. */
    static WeightedSampler zipf(int count, double skew) {
        double[] weights = new double[count];
        for (int i = 0; i < count; i++) {
            weights[i] = Math.pow(i + 1, -skew);
        }
        return new WeightedSampler(weights);
    }

    /** Returns a random index. */
    int sample(RandomGenerator random) {
        double drawn = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
        int index = Arrays.binarySearch(cumulativeWeights, drawn);
        // An exact hit belongs to the next index, as one with weight 0 must never be drawn.
        return Math.min(cumulativeWeights.length - 1, index < 0 ? -index - 1 : index + 1);
    }
}
