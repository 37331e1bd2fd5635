package rillyard.balancer;

import java.util.HashMap;
import java.util.Map;

/**
 * The health statistics of one host, without decision logic. {@link OutlierDetector} writes them, and {@link HostSet}
 * resets them for a new process. Not thread-safe.
 */
final class HostHealth {
    private final double failureRateDecayMillis;
    private final Map<RequestClassStats, DecayingAverage> failureRates = new HashMap<>(4);
    private final DecayingCounter penalty;
    private int consecutiveFailures;
    private double lastResponseAtMillis = Double.NEGATIVE_INFINITY;
    private boolean ejected;
    private double halfOpenAtMillis;
    private int ejections;
    private double lastEjectionAtMillis = Double.NEGATIVE_INFINITY;

    /** Creates the statistics of a host without failures; the parameters are their time constants (ms). */
    HostHealth(double penaltyDecayMillis, double failureRateDecayMillis) {
        this.penalty = new DecayingCounter(penaltyDecayMillis);
        this.failureRateDecayMillis = failureRateDecayMillis;
    }

    /** Clears the failures and the ejection, but not the backoff, for a new process of the host. */
    void reset() {
        failureRates.clear();
        penalty.set(0, 0);
        consecutiveFailures = 0;
        ejected = false;
        halfOpenAtMillis = 0;
    }

    /** Returns the penalty: the number of requests that failures add to the host's count. */
    DecayingCounter penalty() {
        return penalty;
    }

    /** Returns the fraction, from 0 to 1, of the recent requests of a class that the host has lost. */
    double failureRate(RequestClassStats requestClass, double nowMillis) {
        DecayingAverage rate = failureRates.get(requestClass);
        return rate == null ? 0 : rate.valueAt(nowMillis);
    }

    /** Records whether an attempt of a class was lost, with the weight of one sample in its failure rate. */
    void recordEnd(RequestClassStats requestClass, double nowMillis, boolean lost, double weight) {
        failureRates
                .computeIfAbsent(requestClass, key -> new DecayingAverage(failureRateDecayMillis, 0, 0))
                .add(nowMillis, lost ? 1 : 0, weight);
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    void recordFailure() {
        consecutiveFailures++;
    }

    void recordSuccess() {
        consecutiveFailures = 0;
    }

    /** Returns when the host last sent any response (ms), negative infinity before the first one. */
    double lastResponseAtMillis() {
        return lastResponseAtMillis;
    }

    void recordResponse(double nowMillis) {
        lastResponseAtMillis = nowMillis;
    }

    /**
     * Returns whether the host is ejected. From {@link #halfOpenAtMillis} on it is half-open and gets one request at a
     * time.
     */
    boolean isEjected() {
        return ejected;
    }

    /** Returns when an ejected host becomes half-open (ms); before that it gets no request at all. */
    double halfOpenAtMillis() {
        return halfOpenAtMillis;
    }

    /** Returns the number of ejections since the backoff was last reset. */
    int ejections() {
        return ejections;
    }

    double lastEjectionAtMillis() {
        return lastEjectionAtMillis;
    }

    /** Ejects the host, or extends its ejection. */
    void eject(double untilMillis) {
        ejected = true;
        halfOpenAtMillis = untilMillis;
    }

    /** Changes the time from which an ejected host is half-open, without changing whether it is ejected. */
    void setHalfOpenAt(double atMillis) {
        halfOpenAtMillis = atMillis;
    }

    void readmit() {
        ejected = false;
    }

    /** Counts an ejection; the length of the next one depends on the count. */
    void countEjection(double nowMillis) {
        ejections++;
        lastEjectionAtMillis = nowMillis;
    }

    void resetBackoff() {
        ejections = 0;
    }
}
