package rillyard.balancer;

import java.util.SplittableRandom;

/** Measures this proxy's load and latency, and sheds requests on arrival while the latency objective can't be met. */
final class AdmissionController {
    /**
     * Weight of each request in the mean priority, which covers about the last 50 requests, as classes arrive
     * interleaved.
     */
    private static final double PRIORITY_SAMPLE_WEIGHT = 0.02;

    /** Maximum weight of a response, however long ago the previous one was: a single response must not decide alone. */
    private static final double MAX_PRESSURE_WEIGHT = 0.3;

    /** Maximum latency, relative to the objective, that a response counts for: outliers are no sign of overload. */
    private static final double MAX_RELATIVE_LATENCY = 2;

    /** Minimum priority, relative to the mean, by which the probability of shedding is divided. */
    private static final double MIN_RELATIVE_PRIORITY = 0.2;

    /** Probability of shedding a request of mean priority above which the start of an overload is logged. */
    private static final double LOGGED_SHED_PROBABILITY = 0.5;

    private final double objectiveMillis;
    private final SplittableRandom random;
    private final BalancerActions actions;
    private final RateEstimator arrivals = new RateEstimator(Tuning.RATE_DECAY_MILLIS, Tuning.MIN_RATE_WINDOW_MILLIS);
    private final DecayingCounter averageServedRate = new DecayingCounter(Tuning.PEAK_DECAY_MILLIS);
    private final MovingAverage servedFraction = new MovingAverage(1);
    private final MovingAverage meanPriority = new MovingAverage(0);
    private final DecayingPeak inFlight = new DecayingPeak(Tuning.PEAK_DECAY_MILLIS);
    private final DecayingAverage relativeLatency;
    private final DecayingAverage unservedFraction;
    private final double slotOffset;
    private double inTimeRejectionAtMillis = Double.NEGATIVE_INFINITY;
    private boolean overloaded;

    AdmissionController(Settings settings, SplittableRandom random, BalancerActions actions) {
        this.objectiveMillis = settings.meanLatencyObjectiveMillis();
        this.random = random;
        this.actions = actions;
        this.slotOffset = random.nextDouble();
        double pressureDecayMillis = Tuning.PRESSURE_DECAY_OBJECTIVES * objectiveMillis;
        this.relativeLatency = new DecayingAverage(pressureDecayMillis, 0, 0);
        this.unservedFraction = new DecayingAverage(pressureDecayMillis, 0, 0);
    }

    /** Records the arrival of a request. */
    void onRequest(double nowMillis, Settings.RequestClass requestClass) {
        arrivals.onEvent(nowMillis);
        averageServedRate.add(nowMillis, (1 - averageServedRate.decayFactor(nowMillis)) * currentServedRate(nowMillis));
        meanPriority.add(requestClass.priorityWeight(), PRIORITY_SAMPLE_WEIGHT);
    }

    /** Records whether an attempt succeeded; a request that was shed counts as an attempt that didn't. */
    void onEnded(boolean served) {
        servedFraction.add(served ? 1 : 0, Tuning.SAMPLE_WEIGHT);
    }

    /**
     * Returns the rate (requests per ms) at which this proxy's requests are served, at least its average: an overload
     * doesn't slow down a slow start.
     */
    double servedRate(double nowMillis) {
        return Math.max(averageServedRate.lastValue(), currentServedRate(nowMillis));
    }

    private double currentServedRate(double nowMillis) {
        return arrivals.rate(nowMillis) * Math.max(Tuning.MIN_SERVED_FRACTION, servedFraction.value());
    }

    /** Updates the number of this proxy's attempts in flight: {@code change} is 1 when one starts, -1 when one ends. */
    void onInFlightChange(double nowMillis, int change) {
        inFlight.add(nowMillis, change);
    }

    /** Returns the recent peak of this proxy's attempts in flight. */
    double peakInFlight(double nowMillis) {
        return inFlight.valueAt(nowMillis);
    }

    /** Records the latency of a successful response, relative to the latency objective of its class. */
    void onResponse(double nowMillis, double latencyPerObjective) {
        double weight = pressureWeight(nowMillis);
        relativeLatency.add(nowMillis, Math.min(MAX_RELATIVE_LATENCY, latencyPerObjective), weight);
        unservedFraction.add(nowMillis, 0, weight);
    }

    /** Records that an attempt was rejected or timed out. */
    void onRejectionOrTimeout(double nowMillis) {
        double weight = pressureWeight(nowMillis);
        relativeLatency.decay(nowMillis);
        unservedFraction.add(nowMillis, 1, weight);
    }

    private double pressureWeight(double nowMillis) {
        // With few responses, each one weighs more: otherwise they would indicate an overload after it has ended.
        double elapsedMillis = relativeLatency.millisSinceUpdate(nowMillis);
        double weight = elapsedMillis / (Tuning.PRESSURE_WINDOW_OBJECTIVES * objectiveMillis);
        return Math.min(MAX_PRESSURE_WEIGHT, Math.max(Tuning.SAMPLE_WEIGHT, weight));
    }

    /**
     * Records that a request was rejected. If it could still have been answered in time, the rejection shows a lack of
     * capacity.
     */
    void onRejected(double nowMillis, RequestState request) {
        if (!request.requestClass().isTooLate(request.remainingObjectiveMillis())) {
            inTimeRejectionAtMillis = nowMillis;
        }
    }

    /**
     * Returns the latency pressure: the recent latency relative to the objective, from 0 to 2. Rejected and timed out
     * attempts count only beyond the fraction that a part of the hosts explains: for what a few hosts reject or lose
     * there is capacity elsewhere.
     */
    double pressure(double nowMillis) {
        double unexplained = Math.max(0, unservedFraction.lastValue() - Tuning.MAX_EJECTED_FRACTION);
        double overload = unexplained / (1 - Tuning.MAX_EJECTED_FRACTION);
        double latency = relativeLatency.lastValue();
        return relativeLatency.decayFactor(nowMillis) * (latency + overload * (MAX_RELATIVE_LATENCY - latency));
    }

    /** Returns whether latency is so high that a retry would only increase the overload. */
    boolean isOverloaded(double nowMillis) {
        return pressure(nowMillis) > Tuning.SHED_PRESSURE + Tuning.SHED_PRESSURE_SPAN / 2;
    }

    /**
     * Returns whether to reject the request on arrival. The probability rises as latency approaches the objective, and
     * requests of low priority are shed first.
     */
    boolean shouldShed(double nowMillis, RequestState request) {
        double excess = (pressure(nowMillis) - Tuning.SHED_PRESSURE) / Tuning.SHED_PRESSURE_SPAN;
        updateOverloaded(nowMillis, excess);
        if (request.requestClass().isTooLate(request.remainingObjectiveMillis()) && isCapacityScarce(nowMillis)) {
            return random.nextDouble() >= request.requestClass().settings().latePriorityWeight();
        }
        if (excess <= 0) {
            return false;
        }
        double probability = excess / relativePriority(request);
        return slotValue(nowMillis) < Math.min(Tuning.MAX_SHED_PROBABILITY, probability);
    }

    /** Returns whether requests that are already late would displace those that are in time. */
    private boolean isCapacityScarce(double nowMillis) {
        return pressure(nowMillis) > Tuning.SHED_LATE_PRESSURE
                || nowMillis - inTimeRejectionAtMillis < Tuning.SHED_LATE_OBJECTIVES * objectiveMillis;
    }

    /** Returns the request's priority relative to the recent mean, from its class and its tenant's quota. */
    private double relativePriority(RequestState request) {
        double mean = meanPriority.value();
        if (mean <= 0) {
            return 1;
        }
        double weight =
                request.quotaWeight() * request.requestClass().settings().priorityWeight();
        return Math.max(MIN_RELATIVE_PRIORITY, weight / mean);
    }

    private void updateOverloaded(double nowMillis, double excess) {
        boolean begins = !overloaded && excess > LOGGED_SHED_PROBABILITY;
        boolean ends = overloaded && pressure(nowMillis) < Tuning.SHED_PRESSURE / 2;
        if (begins) {
            overloaded = true;
            actions.log("overload: shedding started");
        } else if (ends) {
            overloaded = false;
            actions.log("overload: shedding ended");
        }
    }

    /**
     * Returns a number from 0 to 1 that is constant during a time slot, so that an immediate retry meets the same
     * decision.
     */
    private double slotValue(double nowMillis) {
        double steps = slotOffset
                + Math.floor(nowMillis / (Tuning.SHED_SLOT_OBJECTIVES * objectiveMillis)) * Tuning.GOLDEN_RATIO_STEP;
        return steps - Math.floor(steps);
    }
}
