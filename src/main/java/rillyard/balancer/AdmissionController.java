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

    private final double objectiveMillis;
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
    private double usefulRejectedAtMillis = Double.NEGATIVE_INFINITY;
    private boolean overloaded;

    AdmissionController(Settings settings, SplittableRandom random, BalancerActions actions) {
        this.objectiveMillis = settings.meanLatencyObjectiveMillis();
        this.random = random;
        this.actions = actions;
        this.slotOffset = random.nextDouble();
        double pressureDecayMillis = Tuning.PRESSURE_DECAY_OBJECTIVES * objectiveMillis;
        this.relativeLatency = new DecayingAverage(pressureDecayMillis, 0, 0);
        this.unansweredFraction = new DecayingAverage(pressureDecayMillis, 0, 0);
    }

    /** Records the arrival of a request. */
    void onRequest(double nowMillis, Settings.RequestClass requestClass) {
        arrivals.onEvent(nowMillis);
        usualServedRate.add(nowMillis, (1 - usualServedRate.decayFactor(nowMillis)) * currentServedRate(nowMillis));
        meanPriority.add(requestClass.priorityWeight(), PRIORITY_SAMPLE_WEIGHT);
    }

    /** Records whether an attempt, or a request that was shed, was of use. */
    void onEnded(boolean served) {
        servedFraction.add(served ? 1 : 0, Tuning.SAMPLE_WEIGHT);
    }

    /** Returns the own requests per ms that are served, at least the usual number: overload does not slow a slow start. */
    double servedRate(double nowMillis) {
        return Math.max(usualServedRate.lastValue(), currentServedRate(nowMillis));
    }

    private double currentServedRate(double nowMillis) {
        return arrivals.rate(nowMillis) * Math.max(Tuning.MIN_SERVED_FRACTION, servedFraction.value());
    }

    /** Counts own attempts in flight: 1 for one that starts, -1 for one that ends. */
    void onInFlightChange(double nowMillis, int change) {
        inFlight.add(nowMillis, change);
    }

    /** Returns the recent peak of the own attempts in flight. */
    double peakInFlight(double nowMillis) {
        return inFlight.valueAt(nowMillis);
    }

    /** Records an answer's latency relative to the objective of its class. */
    void onAnswer(double nowMillis, double relative) {
        double weight = pressureWeight(nowMillis);
        relativeLatency.add(nowMillis, Math.min(MAX_RELATIVE_LATENCY, relative), weight);
        unansweredFraction.add(nowMillis, 0, weight);
    }

    /** Records that an attempt brought no answer. */
    void onNoAnswer(double nowMillis) {
        double weight = pressureWeight(nowMillis);
        relativeLatency.decay(nowMillis);
        unansweredFraction.add(nowMillis, 1, weight);
    }

    private double pressureWeight(double nowMillis) {
        // With few answers each one weighs more: they would else tell of an overload after its end.
        double elapsed = relativeLatency.millisSinceUpdate(nowMillis);
        double weight = elapsed / (Tuning.PRESSURE_WINDOW_OBJECTIVES * objectiveMillis);
        return Math.min(MAX_PRESSURE_WEIGHT, Math.max(Tuning.SAMPLE_WEIGHT, weight));
    }

    /** Records a rejection: if the request could still have been answered in time, there is no capacity. */
    void onRejected(double nowMillis, RequestState request) {
        if (!request.requestClass().isTooLate(request.remainingObjectiveMillis())) {
            usefulRejectedAtMillis = nowMillis;
        }
    }

    /**
     * Returns the recent latency relative to the objective, from 0 to 2. Attempts without an answer count only beyond what a
     * part of the hosts explains: for what a few hosts reject or lose there is capacity elsewhere.
     */
    double pressure(double nowMillis) {
        double unexplained = Math.max(0, unansweredFraction.lastValue() - Tuning.MAX_EJECTED_FRACTION);
        double overload = unexplained / (1 - Tuning.MAX_EJECTED_FRACTION);
        double latency = relativeLatency.lastValue();
        return relativeLatency.decayFactor(nowMillis) * (latency + overload * (MAX_RELATIVE_LATENCY - latency));
    }

    /** Whether latency is so high that a retry would only feed the overload. */
    boolean isOverloaded(double nowMillis) {
        return pressure(nowMillis) > Tuning.SHED_PRESSURE + Tuning.SHED_PRESSURE_SPAN / 2;
    }

    /** Whether to reject the request on arrival: more as latency nears the objective, those of low priority first. */
    boolean sheds(double nowMillis, RequestState request) {
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

    /** Whether requests that are late already would displace those in time. */
    private boolean isCapacityScarce(double nowMillis) {
        return pressure(nowMillis) > Tuning.SHED_LATE_PRESSURE
                || nowMillis - usefulRejectedAtMillis < Tuning.SHED_LATE_OBJECTIVES * objectiveMillis;
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

    /** Returns a number from 0 to 1 that is the same throughout a time slot: an immediate retry meets the same decision. */
    private double slotValue(double nowMillis) {
        double turns = slotOffset
                + Math.floor(nowMillis / (Tuning.SHED_SLOT_OBJECTIVES * objectiveMillis)) * Tuning.GOLDEN_RATIO_STEP;
        return turns - Math.floor(turns);
    }
}
