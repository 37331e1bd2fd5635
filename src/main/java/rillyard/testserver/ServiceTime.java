package rillyard.testserver;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/**
 * Distribution of service times, in milliseconds of core time on a warmed-up host of speed 1. Implementations are
 * immutable.
 */
public sealed interface ServiceTime {
    /** Upper bound on a sample in milliseconds, so that no request blocks a core for the rest of a run. */
    double MAX_MILLIS = 600_000;

    /** Returns a random sample in milliseconds. */
    double sampleMillis(RandomGenerator random);

    /** Returns the mean in milliseconds, before the bound on samples. */
    double meanMillis();

    /** Constant service time. */
    record Constant(double millis) implements ServiceTime {
        @Override
        public double sampleMillis(RandomGenerator random) {
            return millis;
        }

        @Override
        public double meanMillis() {
            return millis;
        }
    }

    /** Exponential distribution, as of a memoryless server. */
    record Exponential(double meanMillis) implements ServiceTime {
        @Override
        public double sampleMillis(RandomGenerator random) {
            return Math.min(MAX_MILLIS, meanMillis * random.nextExponential());
        }
    }

    /**
     * Lognormal distribution.
     *
     * @param meanMillis mean, above 0
     * @param cv coefficient of variation (standard deviation over mean), above 0
     */
    record Lognormal(double meanMillis, double cv) implements ServiceTime {
        @Override
        public double sampleMillis(RandomGenerator random) {
            double variance = Math.log1p(cv * cv);
            double mu = Math.log(meanMillis) - variance / 2;
            return Math.min(MAX_MILLIS, Math.exp(mu + Math.sqrt(variance) * random.nextGaussian()));
        }
    }

    /**
     * Distribution interpolated from measured times: a sample lies between two neighbours of the sorted values,
     * uniformly.
     *
     * @param sorted measured times in milliseconds, ascending
     */
    record Empirical(double[] sorted) implements ServiceTime {
        /** Sorts a copy of the values, of which there must be two at least. */
        public Empirical {
            sorted = sorted.clone();
            Arrays.sort(sorted);
        }

        @Override
        public double[] sorted() {
            return sorted.clone();
        }

        @Override
        public double sampleMillis(RandomGenerator random) {
            double position = random.nextDouble() * (sorted.length - 1);
            int i = (int) position;
            return sorted[i] + (position - i) * (sorted[i + 1] - sorted[i]);
        }

        @Override
        public double meanMillis() {
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
