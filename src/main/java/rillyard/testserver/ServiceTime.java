package rillyard.testserver;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** How much work a request is: core time of a warm host of speed 1, in ms. */
public sealed interface ServiceTime {
    /** Work is held to this (ms), so that no draw blocks a core for good. */
    double MAX_MILLIS = 600_000;

    /** Draws one. */
    double sample(RandomGenerator random);

    /** The mean (ms). */
    double mean();

    /** Always the same. */
    record Constant(double millis) implements ServiceTime {
        @Override
        public double sample(RandomGenerator random) {
            return millis;
        }

        @Override
        public double mean() {
            return millis;
        }
    }

    /** Exponential, as of a server without memory. */
    record Exponential(double mean) implements ServiceTime {
        @Override
        public double sample(RandomGenerator random) {
            return Math.min(MAX_MILLIS, mean * random.nextExponential());
        }
    }

    /**
     * Lognormal, by its mean and its coefficient of variation (standard deviation over mean).
     *
     * @param mean above 0
     * @param cv above 0
     */
    record Lognormal(double mean, double cv) implements ServiceTime {
        @Override
        public double sample(RandomGenerator random) {
            double variance = Math.log1p(cv * cv);
            double mu = Math.log(mean) - variance / 2;
            return Math.min(MAX_MILLIS, Math.exp(mu + Math.sqrt(variance) * random.nextGaussian()));
        }
    }

    /**
     * A table of measured times: a draw falls between two neighbours of the sorted table, at any place
     * with the same chance.
     */
    record Empirical(double[] sorted) implements ServiceTime {
        /** Sorts a copy; needs two values at least. */
        public Empirical {
            sorted = sorted.clone();
            Arrays.sort(sorted);
        }

        @Override
        public double[] sorted() {
            return sorted.clone();
        }

        @Override
        public double sample(RandomGenerator random) {
            double at = random.nextDouble() * (sorted.length - 1);
            int i = (int) at;
            return sorted[i] + (at - i) * (sorted[i + 1] - sorted[i]);
        }

        @Override
        public double mean() {
            double sum = 0;
            for (int i = 1; i < sorted.length; i++) {
                sum += (sorted[i - 1] + sorted[i]) / 2;
            }
            return sum / (sorted.length - 1);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Empirical empirical && Arrays.equals(sorted, empirical.sorted);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(sorted);
        }
    }
}
