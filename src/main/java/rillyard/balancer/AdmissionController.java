package rillyard.balancer;

import java.util.SplittableRandom;

/** Measures the own load and its latency, and sheds requests early while the latency objective can't be met. */
final class AdmissionController {
    /** Weight of each request in the mean priority: about the last fifty count, as the classes come mixed. */
    private static final double PRIORITY_SAMPLE_WEIGHT = 0.02;

    /** The greatest weight of an answer, however long there was none: a single one must not decide on its own. */
    private static final double MAX_PRESSURE_WEIGHT = 0.3;

    /** The greatest latency, relative to the objective, that an answer counts for: outliers are no overload. */
    private static final double MAX_RELATIVE_LATENCY = 2;

    /** The least priority, relative to the mean, by which the probability of shedding is divided. */
    private static final double MIN_RELATIVE_PRIORITY = 0.2;

    /** Probability of shedding a request of mean priority from which the beginning of an overload is logged. */
    private static final double LOGGED_SHED_PROBABILITY = 0.5;

    private final double objective;
    private final SplittableRandom random;
    private final BalancerActions actions;
    private final RateEstimator arrivals = new RateEstimator(Tuning.RATE_DECAY_MILLIS, Tuning.MIN_RATE_WINDOW_MILLIS);
    private final DecayingCounter usualServedRate = new DecayingCounter(Tuning.PEAK_DECAY_MILLIS);
    private final MovingAverage servedFraction = new MovingAverage(1);
    private final MovingAverage meanPriority = new MovingAverage(0);
    private final DecayingPeak inFlight = new DecayingPeak(Tuning.PEAK_DECAY_MILLIS);
    private final DecayingAverage relativeLatency;
    private final DecayingAverage unansweredFraction;
    private final double slotOffset;
    private double usefulRejectedAt = Double.NEGATIVE_INFINITY;
    private boolean overloaded;

    AdmissionController(Settings settings, SplittableRandom random, BalancerActions actions) {
        this.objective = settings.meanLatencyObjective();
        this.random = random;
        this.actions = actions;
        this.slotOffset = random.nextDouble();
        double pressureDecay = Tuning.PRESSURE_DECAY_OBJECTIVES * objective;
        this.relativeLatency = new DecayingAverage(pressureDecay, 0, 0);
        this.unansweredFraction = new DecayingAverage(pressureDecay, 0, 0);
    }

    /** Records the arrival of a request. */
    void onRequest(double now, Settings.RequestClass requestClass) {
        arrivals.onEvent(now);
        usualServedRate.add(now, (1 - usualServedRate.decayFactor(now)) * currentServedRate(now));
        meanPriority.add(requestClass.priorityWeight(), PRIORITY_SAMPLE_WEIGHT);
    }

    /** Records whether an attempt, or a request that was shed, was of use. */
    void onEnded(boolean served) {
        servedFraction.add(served ? 1 : 0, Tuning.SAMPLE_WEIGHT);
    }

    /** Returns the own requests per ms that are served, at least the usual number: overload does not slow a slow start. */
    double servedRate(double now) {
        return Math.max(usualServedRate.lastValue(), currentServedRate(now));
    }

    private double currentServedRate(double now) {
        return arrivals.rate(now) * Math.max(Tuning.MIN_SERVED_FRACTION, servedFraction.value());
    }

    /** Counts own attempts in flight: 1 for one that starts, -1 for one that ends. */
    void onInFlightChange(double now, int change) {
        inFlight.add(now, change);
    }

    /** Returns the recent peak of the own attempts in flight. */
    double peakInFlight(double now) {
        return inFlight.valueAt(now);
    }

    /** Records an answer's latency relative to the objective of its class. */
    void onAnswer(double now, double relative) {
        double weight = pressureWeight(now);
        relativeLatency.add(now, Math.min(MAX_RELATIVE_LATENCY, relative), weight);
        unansweredFraction.add(now, 0, weight);
    }

    /** Records that an attempt brought no answer. */
    void onNoAnswer(double now) {
        double weight = pressureWeight(now);
        relativeLatency.decay(now);
        unansweredFraction.add(now, 1, weight);
    }

    private double pressureWeight(double now) {
        // With few answers each one weighs more: they would else tell of an overload after its end.
        double elapsed = relativeLatency.millisSinceUpdate(now);
        double weight = elapsed / (Tuning.PRESSURE_WINDOW_OBJECTIVES * objective);
        return Math.min(MAX_PRESSURE_WEIGHT, Math.max(Tuning.SAMPLE_WEIGHT, weight));
    }

    /** Records a rejection: if the request could still have been answered in time, there is no capacity. */
    void onRejected(double now, RequestState request) {
        if (!request.requestClass().isTooLate(request.remainingObjective())) {
            usefulRejectedAt = now;
        }
    }

    /**
     * Returns the recent latency relative to the objective, from 0 to 2. Attempts without an answer count only beyond what a
     * part of the hosts explains: for what a few hosts reject or lose there is capacity elsewhere.
     */
    double pressure(double now) {
        double unexplained = Math.max(0, unansweredFraction.lastValue() - Tuning.MAX_EJECTED_FRACTION);
        double overload = unexplained / (1 - Tuning.MAX_EJECTED_FRACTION);
        double latency = relativeLatency.lastValue();
        return relativeLatency.decayFactor(now) * (latency + overload * (MAX_RELATIVE_LATENCY - latency));
    }

    /** Whether latency is so high that a retry would only feed the overload. */
    boolean isOverloaded(double now) {
        return pressure(now) > Tuning.SHED_PRESSURE + Tuning.SHED_PRESSURE_SPAN / 2;
    }

    /** Whether to reject the request on arrival: more as latency nears the objective, those of low priority first. */
    boolean sheds(double now, RequestState request) {
        double excess = (pressure(now) - Tuning.SHED_PRESSURE) / Tuning.SHED_PRESSURE_SPAN;
        updateOverloaded(now, excess);
        if (request.requestClass().isTooLate(request.remainingObjective()) && isCapacityScarce(now)) {
            return random.nextDouble() >= request.requestClass().settings().latePriorityWeight();
        }
        if (excess <= 0) {
            return false;
        }
        double probability = excess / relativePriority(request);
        return slotValue(now) < Math.min(Tuning.MAX_SHED_PROBABILITY, probability);
    }

    /** Whether requests that are late already would displace those in time. */
    private boolean isCapacityScarce(double now) {
        return pressure(now) > Tuning.SHED_LATE_PRESSURE
                || now - usefulRejectedAt < Tuning.SHED_LATE_OBJECTIVES * objective;
    }

    /** Returns the request's priority relative to the recent mean, by its class and its tenant's quota. */
    private double relativePriority(RequestState request) {
        double mean = meanPriority.value();
        if (mean <= 0) {
            return 1;
        }
        double weight =
                request.quotaWeight() * request.requestClass().settings().priorityWeight();
        return Math.max(MIN_RELATIVE_PRIORITY, weight / mean);
    }

    private void updateOverloaded(double now, double excess) {
        boolean begins = !overloaded && excess > LOGGED_SHED_PROBABILITY;
        boolean ends = overloaded && pressure(now) < Tuning.SHED_PRESSURE / 2;
        if (begins) {
            overloaded = true;
            actions.log("overload: shedding started");
        } else if (ends) {
            overloaded = false;
            actions.log("overload: shedding ended");
        }
    }

    /** Returns a number from 0 to 1 that is the same throughout a time slot: an immediate retry meets the same decision. */
    private double slotValue(double now) {
        double turns =
                slotOffset + Math.floor(now / (Tuning.SHED_SLOT_OBJECTIVES * objective)) * Tuning.GOLDEN_RATIO_STEP;
        return turns - Math.floor(turns);
    }
}
