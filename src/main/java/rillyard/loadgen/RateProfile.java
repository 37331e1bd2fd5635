package rillyard.loadgen;

/**
 * Arrival rate over a period of time, defined by its cumulative rate: the number of arrivals expected up to a time.
 *
 * <p>Arrivals are drawn at rate one and placed where the cumulative rate reaches them (the time change of an
 * inhomogeneous Poisson process; Çinlar 1975, section 4.7), so that all profiles share one random source. Times are
 * in seconds from the start of the profile, rates in arrivals per second. Implementations are immutable.
 */
public sealed interface RateProfile {
    /** Returns the duration in seconds. */
    double seconds();

    /** Returns the number of arrivals expected up to a time; 0 at time 0 and never decreasing. */
    double expectedArrivals(double timeSeconds);

    /** Returns whether arrivals form a Poisson process, rather than being evenly spaced. */
    boolean isPoisson();

    /** Returns the rate at a time. */
    double rate(double timeSeconds);

    /**
     * Returns the time at which the expected number of arrivals reaches {@code arrivals}, or NaN if the profile ends
     * before.
     *
     * @param fromSeconds lower bound of the result
     */
    default double timeOf(double arrivals, double fromSeconds) {
        double high = seconds();
        if (expectedArrivals(high) < arrivals) {
            return Double.NaN;
        }
        double low = fromSeconds;
        // The next arrival is usually near, so widen a bracket from there and bisect it to a tenth of a microsecond.
        double step = 1e-4;
        while (low + step < high && expectedArrivals(low + step) < arrivals) {
            low += step;
            step *= 2;
        }
        high = Math.min(high, low + step);
        while (high - low > 1e-7) {
            double mid = (low + high) / 2;
            if (expectedArrivals(mid) < arrivals) {
                low = mid;
            } else {
                high = mid;
            }
        }
        return high;
    }

    /** A constant rate. */
    record Steady(double seconds, double rate, boolean isPoisson) implements RateProfile {
        @Override
        public double expectedArrivals(double timeSeconds) {
            return rate * timeSeconds;
        }

        @Override
        public double rate(double timeSeconds) {
            return rate;
        }
    }

    /** A rate that changes linearly from one value to another. */
    record Ramp(double seconds, double startRate, double endRate, boolean isPoisson) implements RateProfile {
        @Override
        public double expectedArrivals(double timeSeconds) {
            return startRate * timeSeconds + (endRate - startRate) * timeSeconds * timeSeconds / (2 * seconds);
        }

        @Override
        public double rate(double timeSeconds) {
            return startRate + (endRate - startRate) * timeSeconds / seconds;
        }
    }

    /**
     * A base rate that rises linearly to a peak, holds it, and falls back linearly.
     *
     * @param startSeconds start of the rise
     * @param riseSeconds duration of the rise
     * @param holdSeconds duration of the peak
     * @param fallSeconds duration of the fall
     */
    record Surge(
            double seconds,
            double base,
            double peak,
            double startSeconds,
            double riseSeconds,
            double holdSeconds,
            double fallSeconds,
            boolean isPoisson)
            implements RateProfile {
        @Override
        public double expectedArrivals(double timeSeconds) {
            double riseElapsed = clamp(timeSeconds - startSeconds, riseSeconds);
            double holdElapsed = clamp(timeSeconds - startSeconds - riseSeconds, holdSeconds);
            double fallElapsed = clamp(timeSeconds - startSeconds - riseSeconds - holdSeconds, fallSeconds);
            double extraSeconds = (riseSeconds > 0 ? riseElapsed * riseElapsed / (2 * riseSeconds) : 0)
                    + holdElapsed
                    + (fallSeconds > 0 ? fallElapsed - fallElapsed * fallElapsed / (2 * fallSeconds) : 0);
            return base * timeSeconds + (peak - base) * extraSeconds;
        }

        @Override
        public double rate(double timeSeconds) {
            double sinceStartSeconds = timeSeconds - startSeconds;
            double share = sinceStartSeconds < 0
                    ? 0
                    : sinceStartSeconds < riseSeconds
                            ? sinceStartSeconds / riseSeconds
                            : sinceStartSeconds < riseSeconds + holdSeconds
                                    ? 1
                                    : sinceStartSeconds < riseSeconds + holdSeconds + fallSeconds
                                            ? 1 - (sinceStartSeconds - riseSeconds - holdSeconds) / fallSeconds
                                            : 0;
            return base + (peak - base) * share;
        }

        private static double clamp(double value, double max) {
            return Math.max(0, Math.min(max, value));
        }
    }

    /**
     * A rate that oscillates as a sine around a mean.
     *
     * @param amplitude amplitude as a share of the mean, 0 to 1
     * @param periodSeconds duration of one oscillation
     */
    record Wave(double seconds, double mean, double amplitude, double periodSeconds, boolean isPoisson)
            implements RateProfile {
        @Override
        public double expectedArrivals(double timeSeconds) {
            double angularFrequency = 2 * Math.PI / periodSeconds;
            return mean * (timeSeconds + amplitude / angularFrequency * (1 - Math.cos(angularFrequency * timeSeconds)));
        }

        @Override
        public double rate(double timeSeconds) {
            return mean * (1 + amplitude * Math.sin(2 * Math.PI * timeSeconds / periodSeconds));
        }
    }

    /** Several rates in sequence, each for an equal part of the duration. */
    record Step(double seconds, double[] rates, boolean isPoisson) implements RateProfile {
        /** Copies the rates. */
        public Step {
            rates = rates.clone();
        }

        @Override
        public double[] rates() {
            return rates.clone();
        }

        @Override
        public double expectedArrivals(double timeSeconds) {
            double secondsPerRate = seconds / rates.length;
            double sum = 0;
            for (int i = 0; i < rates.length; i++) {
                sum += rates[i] * Math.max(0, Math.min(secondsPerRate, timeSeconds - i * secondsPerRate));
            }
            return sum;
        }

        @Override
        public double rate(double timeSeconds) {
            return rates[(int) Math.max(0, Math.min(rates.length - 1, timeSeconds * rates.length / seconds))];
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Step step
                    && step.seconds == seconds
                    && step.isPoisson == isPoisson
                    && java.util.Arrays.equals(step.rates, rates);
        }

        @Override
        public int hashCode() {
            return java.util.Arrays.hashCode(rates);
        }
    }
}
