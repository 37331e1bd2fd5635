package rillyard.loadgen;

/**
 * How the rate of arrivals goes over a stretch of time. A shape is its cumulative rate: how many
 * arrivals are expected by a time. Arrivals are drawn at rate one and put where the cumulative rate
 * reaches them (the time change of an inhomogeneous Poisson process; Çinlar 1975, section 4.7), so
 * that all shapes share one source of chance.
 */
public sealed interface RateProfile {
    /** How long it lasts (s). */
    double seconds();

    /** Arrivals expected in its first {@code t} seconds; never falls, from 0. */
    double expectedArrivals(double time);

    /** Whether arrivals come by chance, rather than evenly. */
    boolean isPoisson();

    /** The rate (1/s) at a time. */
    double rate(double time);

    /**
     * The time at which so many arrivals are expected, not before {@code from}, or NaN if it ends
     * before.
     */
    default double timeOf(double arrivals, double from) {
        double high = seconds();
        if (expectedArrivals(high) < arrivals) {
            return Double.NaN;
        }
        double low = from;
        // The next one is near as a rule: widen from there, then halve down to a tenth of a microsecond.
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

    /** The same rate all the time; evenly spaced, or as a Poisson process. */
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

    /** From one rate to another in a straight line. */
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

    /** A base rate that rises to a peak, holds, and falls back, in straight lines. */
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

    /** A sine around a mean; {@code swing} is its amplitude as a share of the mean, at most 1. */
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

    /** One rate after another, each for as long. */
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
