package rillyard.balancer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The state of a client's request until it has its response and no attempts in flight, without decision logic. Not
 * thread-safe.
 */
final class RequestState {
    private final long id;
    private final RequestClassStats requestClass;
    private final double remainingObjectiveMillis;
    private final double quotaWeight;
    private final List<AttemptState> attempts = new ArrayList<>(2);
    private final List<AttemptState> attemptsView = Collections.unmodifiableList(attempts);
    private double deadlineMillis;
    private double maxExpectedLatencyMillis;
    private int openAttempts;
    private boolean ended;

    /**
     * Creates a request without attempts.
     *
     * @param remainingMillis time (ms) until the client's deadline, infinite while the request is being received
     * @param quotaWeight weight of the request's tenant, 1 if the tenant is within its quota
     */
    RequestState(
            long id, RequestClassStats requestClass, double nowMillis, double remainingMillis, double quotaWeight) {
        this.id = id;
        this.requestClass = requestClass;
        this.deadlineMillis = nowMillis + remainingMillis;
        this.remainingObjectiveMillis = requestClass.remainingObjectiveMillis(remainingMillis);
        this.quotaWeight = quotaWeight;
    }

    long id() {
        return id;
    }

    RequestClassStats requestClass() {
        return requestClass;
    }

    /** Returns the part of the latency objective (ms) that remained on arrival, below 0 if it was past. */
    double remainingObjectiveMillis() {
        return remainingObjectiveMillis;
    }

    double quotaWeight() {
        return quotaWeight;
    }

    /** Returns the attempts in the order of their numbers. */
    List<AttemptState> attempts() {
        return attemptsView;
    }

    /** Returns the attempt that was started last; there must be one. */
    AttemptState lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Returns the attempt with this number that has no outcome yet, null if there is none. */
    AttemptState openAttempt(int number) {
        boolean known = number >= 0 && number < attempts.size();
        return known && attempts.get(number).isOpen() ? attempts.get(number) : null;
    }

    /** Returns the client's deadline (ms), infinite while the request is being received. */
    double deadlineMillis() {
        return deadlineMillis;
    }

    /** Returns the expected latency (ms) above which a host doesn't get the first attempt. */
    double maxExpectedLatencyMillis() {
        return maxExpectedLatencyMillis;
    }

    int openAttempts() {
        return openAttempts;
    }

    /** Returns whether the request has its final response, or needs none any more. */
    boolean isEnded() {
        return ended;
    }

    /** Returns whether the next attempt is the first one. */
    boolean isFirstAttempt() {
        return attempts.isEmpty();
    }

    /** Returns whether an attempt has been sent to {@code host}. */
    boolean hasTried(HostState host) {
        for (AttemptState attempt : attempts) {
            if (attempt.host() == host) {
                return true;
            }
        }
        return false;
    }

    void limitExpectedLatency(double millis) {
        maxExpectedLatencyMillis = millis;
    }

    /** Records that the last byte has been received, with {@code remainingMillis} ms left until the deadline. */
    void complete(double nowMillis, double remainingMillis) {
        deadlineMillis = nowMillis + remainingMillis;
        attempts.forEach(attempt -> attempt.requestCompleted(nowMillis));
    }

    /** Records that the next attempt is sent to {@code host}, both here and in the host. */
    AttemptState startAttempt(HostState host, double sentAtMillis, double outstandingAtSend) {
        AttemptState attempt = new AttemptState(this, attempts.size(), host, sentAtMillis, outstandingAtSend);
        attempts.add(attempt);
        openAttempts++;
        host.attemptStarted(attempt);
        return attempt;
    }

    /** Records that one of the attempts has its outcome. */
    void attemptEnded() {
        openAttempts--;
    }

    /** Records that no further attempt will be made. */
    void end() {
        ended = true;
    }
}
