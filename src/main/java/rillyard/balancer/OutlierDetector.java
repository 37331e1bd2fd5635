package rillyard.balancer;

import java.util.SplittableRandom;

/**
 * Detects unresponsive and failing hosts, ejects them with exponential backoff and readmits them after half-open
 * probes.
 */
final class OutlierDetector {
    /** Penalty below which it is ignored, which avoids computing the exponential decay for nearly all hosts. */
    private static final double MIN_PENALTY = 0.05;

    /** Minimum factor of an ejection's length; jitter keeps many proxies from probing at the same moment. */
    private static final double MIN_EJECTION_JITTER = 0.75;

    private static final double EJECTION_JITTER_SPAN = 0.5; // range of the factor above the minimum

    private final HostSet hosts;
    private final double objectiveMillis;
    private final SplittableRandom random;
    private final BalancerActions actions;

    OutlierDetector(HostSet hosts, double objectiveMillis, SplittableRandom random, BalancerActions actions) {
        this.hosts = hosts;
        this.objectiveMillis = objectiveMillis;
        this.random = random;
        this.actions = actions;
    }

    /** Returns whether the host may get a request; a half-open host gets one at a time. */
    boolean isAvailable(HostState host, double nowMillis, double overdueAfterMillis) {
        HostHealth health = host.health();
        if (nowMillis < health.halfOpenAtMillis()) {
            return false;
        }
        if (health.isEjected()) {
            return host.inFlight() == 0;
        }
        return !isUnresponsive(host, nowMillis, overdueAfterMillis);
    }

    /**
     * Returns whether the host has sent no response for so long, with complete requests in flight, that it seems to
     * hang.
     */
    boolean isUnresponsive(HostState host, double nowMillis, double overdueAfterMillis) {
        for (AttemptState attempt : host.attempts()) {
            if (!isOvertaken(attempt) && attempt.sentAtMillis() <= nowMillis) {
                double silentSinceMillis =
                        Math.max(attempt.sentAtMillis(), host.health().lastResponseAtMillis());
                double toleratedMillis =
                        overdueAfterMillis * Math.max(1, host.load().slowness().lastValue());
                return nowMillis - silentSinceMillis > Math.max(Tuning.MIN_UNRESPONSIVE_MILLIS, toleratedMillis);
            }
        }
        return false;
    }

    /**
     * Returns whether the host has responded successfully to an attempt sent later: it has lost this one, but neither
     * hangs nor has a long queue.
     */
    static boolean isOvertaken(AttemptState attempt) {
        return attempt.sentAtMillis() < attempt.host().latestSuccessSentAtMillis();
    }

    /**
     * Returns the number of lost attempts: those in flight that are overtaken and past their latency objective.
     * Attempts of the class {@code except}, which may be null, are not counted.
     */
    static int lostAttempts(HostState host, RequestClassStats except, double nowMillis) {
        int count = 0;
        for (AttemptState attempt : host.attempts()) {
            if (!isOvertaken(attempt)) {
                break; // attempts are in the order in which they were sent
            }
            RequestClassStats requestClass = attempt.requestClass();
            if (requestClass != except
                    && nowMillis - attempt.sentAtMillis()
                            > requestClass.settings().latencyObjectiveMillis()) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns this proxy's requests in flight at the host plus a penalty for failures, as a host that loses requests of
     * this class or quickly responds with errors must not appear idle. The host gets requests again once the other
     * hosts have more requests by the amount of the penalty. Limit: a class that all hosts lose is distributed by the
     * penalties rather than by the load.
     */
    double weightedInFlight(HostState host, RequestClassStats requestClass, double nowMillis) {
        return host.inFlight()
                - lostAttempts(host, requestClass, nowMillis)
                + penalty(host, nowMillis)
                + Tuning.FAILURE_RATE_PENALTY * host.health().failureRate(requestClass, nowMillis);
    }

    private static double penalty(HostState host, double nowMillis) {
        DecayingCounter penalty = host.health().penalty();
        return penalty.lastValue() < MIN_PENALTY ? 0 : penalty.valueAt(nowMillis);
    }

    private static void addPenalty(HostState host, double nowMillis) {
        host.health().penalty().set(nowMillis, penalty(host, nowMillis) + Tuning.FAILURE_PENALTY);
    }

    /** Records whether an attempt of this class was lost or got a successful response. */
    void onAttemptEnded(HostState host, RequestClassStats requestClass, double nowMillis, boolean lost) {
        host.health().recordEnd(requestClass, nowMillis, lost, Tuning.SAMPLE_WEIGHT);
    }

    /** Records a successful response, which ends an ejection. */
    void onSuccess(HostState host, double nowMillis) {
        host.health().recordResponse(nowMillis);
        host.health().recordSuccess();
        readmit(host);
    }

    /** Records a failure; {@code responded} is whether the host has sent a response. */
    void onFailure(HostState host, double nowMillis, boolean responded) {
        HostHealth health = host.health();
        if (responded) {
            health.recordResponse(nowMillis);
        }
        health.recordFailure();
        addPenalty(host, nowMillis);
        if (nowMillis >= health.halfOpenAtMillis()
                && (health.isEjected() || health.consecutiveFailures() >= Tuning.EJECTION_FAILURES)
                && mayEject(host)) {
            eject(host, nowMillis);
        }
    }

    /**
     * Records that the host rejected an attempt as over its capacity, which adds a penalty but doesn't count as a
     * failure.
     */
    void onRejection(HostState host, double nowMillis) {
        host.health().recordResponse(nowMillis);
        addPenalty(host, nowMillis);
        readmit(host);
    }

    private void readmit(HostState host) {
        if (host.health().isEjected()) {
            host.health().readmit();
            hosts.onEjectionChanged(host);
            actions.log("outlier: host readmitted, host=" + host.id());
        }
    }

    /**
     * Applies the fleet's decision: ejects the host until at least {@code probeAtMillis}, or permits a probe by then at
     * the latest.
     */
    void onFleetEjection(HostState host, boolean ejected, double probeAtMillis) {
        HostHealth health = host.health();
        if (!ejected) {
            health.setHalfOpenAt(Math.min(health.halfOpenAtMillis(), probeAtMillis));
        } else if (mayEject(host)) {
            health.eject(Math.max(health.halfOpenAtMillis(), probeAtMillis));
            hosts.onEjectionChanged(host);
        }
    }

    /** Returns whether few enough other hosts are ejected: a fault of many hosts must not overload the rest. */
    private boolean mayEject(HostState host) {
        return hosts.ejectedHostCount(host)
                < Tuning.MAX_EJECTED_FRACTION * hosts.ready().size();
    }

    private void eject(HostState host, double nowMillis) {
        HostHealth health = host.health();
        if (nowMillis - health.lastEjectionAtMillis() > Tuning.EJECTION_RESET_OBJECTIVES * objectiveMillis) {
            health.resetBackoff();
        }
        double backoffObjectives = Tuning.BASE_EJECTION_OBJECTIVES * Math.pow(2, health.ejections());
        double lengthMillis = objectiveMillis * Math.min(Tuning.MAX_EJECTION_OBJECTIVES, backoffObjectives);
        health.countEjection(nowMillis);
        double jitter = MIN_EJECTION_JITTER + EJECTION_JITTER_SPAN * random.nextDouble();
        double halfOpenAtMillis = nowMillis + lengthMillis * jitter;
        if (!health.isEjected()) {
            actions.log("outlier: host ejected, host=" + host.id() + " failures=" + health.consecutiveFailures()
                    + " backoff_ms=" + Math.round(halfOpenAtMillis - nowMillis));
        }
        health.eject(halfOpenAtMillis);
        hosts.onEjectionChanged(host);
    }
}
