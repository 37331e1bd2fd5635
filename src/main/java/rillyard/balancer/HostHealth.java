package rillyard.balancer;

import java.util.HashMap;
import java.util.Map;

/** What {@link OutlierDetector}, the only writer, has recorded of one host: plain data. Not thread-safe. */
final class HostHealth {
    private final double failureRateDecayMillis;
    private final Map<RequestClassStats, DecayingAverage> failureRates = new HashMap<>(4);
    private final DecayingCounter penalty;
    private int consecutiveFailures;
    private double lastAnswerAtMillis = Double.NEGATIVE_INFINITY;
    private boolean ejected;
    private double halfOpenAtMillis;
    private int ejections;
    private double lastEjectionAtMillis = Double.NEGATIVE_INFINITY;

    /** Creates the health of a host without failures, with the time constants (ms) of its statistics. */
    HostHealth(double penaltyDecayMillis, double failureRateDecayMillis) {
        this.penalty = new DecayingCounter(penaltyDecayMillis);
        this.failureRateDecayMillis = failureRateDecayMillis;
    }

    /** Forgets the failures and the ejection, but not the backoff, for a new process of the host. */
    void reset() {
        failureRates.clear();
        penalty.set(0, 0);
        consecutiveFailures = 0;
        ejected = false;
        halfOpenAtMillis = 0;
    }

    /** Returns the statistic of requests that failures add to the host's count. */
    DecayingCounter penalty() {
        return penalty;
    }

    /** Returns the fraction, from 0 to 1, of the requests of a class that the host has recently lost. */
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

    /** Returns when the host last sent any answer (ms), negative infinity before the first. */
    double lastAnswerAtMillis() {
        return lastAnswerAtMillis;
    }

    void recordAnswer(double nowMillis) {
        lastAnswerAtMillis = nowMillis;
    }

    /** Whether the host is ejected; it is half-open, and gets one request at a time, from {@link #halfOpenAtMillis} on. */
    boolean isEjected() {
        return ejected;
    }

    /** Returns when an ejected host becomes half-open (ms): until then it gets no request at all. */
    double halfOpenAtMillis() {
        return halfOpenAtMillis;
    }

    /** Returns the number of ejections since the backoff last started anew. */
    int ejections() {
        return ejections;
    }

    double lastEjectionAtMillis() {
        return lastEjectionAtMillis;
    }

    /** Ejects the host, or prolongs its ejection. */
    void eject(double untilMillis) {
        ejected = true;
        halfOpenAtMillis = untilMillis;
    }

    /** Moves the time from which an ejected host is half-open, without a change of the ejection itself. */
    void setHalfOpenAt(double atMillis) {
        halfOpenAtMillis = atMillis;
    }

    void readmit() {
        ejected = false;
    }

    /** Counts an ejection, from which the next one's backoff follows. */
    void countEjection(double nowMillis) {
        ejections++;
        lastEjectionAtMillis = nowMillis;
    }

    void resetBackoff() {
        ejections = 0;
    }
}
