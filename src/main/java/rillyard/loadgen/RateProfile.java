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
    double expectedArrivals(double time);

    /** Returns whether arrivals form a Poisson process, rather than being evenly spaced. */
    boolean isPoisson();

    /** Returns the rate at a time. */
    double rate(double time);

    /**
     * Returns the time at which the expected number of arrivals reaches {@code arrivals}, or NaN if the profile ends
     * before.
     *
     * @param from lower bound of the result, in seconds
     */
    default double timeOf(double arrivals, double from) {
        double high = seconds();
        if (expectedArrivals(high) < arrivals) {
            return Double.NaN;
        }
        double low = from;
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
        public double expectedArrivals(double time) {
            return rate * time;
        }

        @Override
        public double rate(double time) {
            return rate;
        }
    }

    /** A rate that changes linearly from one value to another. */
    record Ramp(double seconds, double from, double to, boolean isPoisson) implements RateProfile {
        @Override
        public double expectedArrivals(double time) {
            return from * time + (to - from) * time * time / (2 * seconds);
        }

        @Override
        public double rate(double time) {
            return from + (to - from) * time / seconds;
        }
    }

    /**
     * A base rate that rises linearly to a peak, holds it, and falls back linearly.
     *
     * @param at start of the rise in seconds
     * @param rise duration of the rise in seconds
     * @param hold duration of the peak in seconds
     * @param fall duration of the fall in seconds
     */
    record Surge(
            double seconds,
            double base,
            double peak,
            double at,
            double rise,
            double hold,
            double fall,
            boolean isPoisson)
            implements RateProfile {
        @Override
        public double expectedArrivals(double time) {
            double up = clamp(time - at, rise);
            double top = clamp(time - at - rise, hold);
            double down = clamp(time - at - rise - hold, fall);
            double more =
                    (rise > 0 ? up * up / (2 * rise) : 0) + top + (fall > 0 ? down - down * down / (2 * fall) : 0);
            return base * time + (peak - base) * more;
        }

        @Override
        public double rate(double time) {
            double sinceStart = time - at;
            double share = sinceStart < 0
                    ? 0
                    : sinceStart < rise
                            ? sinceStart / rise
                            : sinceStart < rise + hold
                                    ? 1
                                    : sinceStart < rise + hold + fall ? 1 - (sinceStart - rise - hold) / fall : 0;
            return base + (peak - base) * share;
        }

        private static double clamp(double value, double most) {
            return Math.max(0, Math.min(most, value));
        }
    }

    /**
     * A sine around a mean rate.
     *
     * @param amplitude amplitude as a share of the mean, 0 to 1
     * @param period period in seconds
     */
    record Wave(double seconds, double mean, double amplitude, double period, boolean isPoisson)
            implements RateProfile {
        @Override
        public double expectedArrivals(double time) {
            double angularFrequency = 2 * Math.PI / period;
            return mean * (time + amplitude / angularFrequency * (1 - Math.cos(angularFrequency * time)));
        }

        @Override
        public double rate(double time) {
            return mean * (1 + amplitude * Math.sin(2 * Math.PI * time / period));
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
        public double expectedArrivals(double time) {
            double each = seconds / rates.length;
            double sum = 0;
            for (int i = 0; i < rates.length; i++) {
                sum += rates[i] * Math.max(0, Math.min(each, time - i * each));
            }
            return sum;
        }

        @Override
        public double rate(double time) {
            return rates[(int) Math.max(0, Math.min(rates.length - 1, time * rates.length / seconds))];
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
