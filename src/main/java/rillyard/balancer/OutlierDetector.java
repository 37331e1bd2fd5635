package rillyard.balancer;

import java.util.SplittableRandom;

/** Outlier detection: unresponsive and failing hosts, ejection with backoff, half-open probes. */
final class OutlierDetector {
    /** Penalty below which it counts for nothing, which spares the decay's exponential for nearly all hosts. */
    private static final double MIN_PENALTY = 0.05;

    /** The least part of an ejection's length, with jitter so that many proxies do not probe at the same moment. */
    private static final double MIN_EJECTION_JITTER = 0.75;

    private static final double EJECTION_JITTER_SPAN = 0.5; // above that

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

    /** Whether the host may get a request; one that is half-open gets one at a time. */
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

    /** Whether the host has answered nothing for so long, with complete requests in flight, that it seems to hang. */
    boolean isUnresponsive(HostState host, double nowMillis, double overdueAfterMillis) {
        for (AttemptState attempt : host.attempts()) {
            if (!isOvertaken(attempt) && attempt.sentAtMillis() <= nowMillis) {
                double since = Math.max(attempt.sentAtMillis(), host.health().lastAnswerAtMillis());
                double expected =
                        overdueAfterMillis * Math.max(1, host.load().slowness().lastValue());
                return nowMillis - since > Math.max(Tuning.MIN_UNRESPONSIVE_MILLIS, expected);
            }
        }
        return false;
    }

    /** Whether the host has answered a later attempt: it has lost this one, but neither hangs nor has a long queue. */
    static boolean isOvertaken(AttemptState attempt) {
        return attempt.sentAtMillis() < attempt.host().newestAnsweredSentAtMillis();
    }

    /** Returns how many attempts in flight are overtaken and past their objective, without those of class {@code except}. */
    static int lostAttempts(HostState host, RequestClassStats except, double nowMillis) {
        int count = 0;
        for (AttemptState attempt : host.attempts()) {
            if (!isOvertaken(attempt)) {
                break; // they are in the order of their sends
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
     * Returns the own requests in flight plus a penalty for failures: a host that loses requests of this class, or answers
     * with quick errors, must not look idle. It gets requests again once the others are busier by the penalty. Limit: a class
     * that all hosts lose is distributed by the penalties rather than by the load.
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

    /** Records whether an attempt of this class was lost or answered. */
    void onAttemptEnded(HostState host, RequestClassStats requestClass, double nowMillis, boolean lost) {
        host.health().recordEnd(requestClass, nowMillis, lost, Tuning.SAMPLE_WEIGHT);
    }

    /** Records a successful answer, which ends an ejection. */
    void onSuccess(HostState host, double nowMillis) {
        host.health().recordAnswer(nowMillis);
        host.health().recordSuccess();
        readmit(host);
    }

    /** Records a failure; {@code answered} tells whether the host has sent an answer. */
    void onFailure(HostState host, double nowMillis, boolean answered) {
        HostHealth health = host.health();
        if (answered) {
            health.recordAnswer(nowMillis);
        }
        health.recordFailure();
        addPenalty(host, nowMillis);
        if (nowMillis >= health.halfOpenAtMillis()
                && (health.isEjected() || health.consecutiveFailures() >= Tuning.EJECTION_FAILURES)
                && mayEject(host)) {
            eject(host, nowMillis);
        }
    }

    /** Records that the host rejected an attempt as over its capacity, which gives it a penalty but is no failure. */
    void onRejection(HostState host, double nowMillis) {
        host.health().recordAnswer(nowMillis);
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

    /** Applies what the fleet has found: ejects the host until {@code probeAtMillis} or later, or probes it by then. */
    void onFleetEjection(HostState host, boolean ejected, double probeAtMillis) {
        HostHealth health = host.health();
        if (!ejected) {
            health.setHalfOpenAt(Math.min(health.halfOpenAtMillis(), probeAtMillis));
        } else if (mayEject(host)) {
            health.eject(Math.max(health.halfOpenAtMillis(), probeAtMillis));
            hosts.onEjectionChanged(host);
        }
    }

    /** Whether few enough other hosts are ejected; a fault of many must not overload the rest. */
    private boolean mayEject(HostState host) {
        return hosts.ejectedHostCount(host)
                < Tuning.MAX_EJECTED_FRACTION * hosts.ready().size();
    }

    private void eject(HostState host, double nowMillis) {
        HostHealth health = host.health();
        if (nowMillis - health.lastEjectionAtMillis() > Tuning.EJECTION_RESET_OBJECTIVES * objectiveMillis) {
            health.resetBackoff();
        }
        double backoff = Tuning.BASE_EJECTION_OBJECTIVES * Math.pow(2, health.ejections());
        double length = objectiveMillis * Math.min(Tuning.MAX_EJECTION_OBJECTIVES, backoff);
        health.countEjection(nowMillis);
        double jitter = MIN_EJECTION_JITTER + EJECTION_JITTER_SPAN * random.nextDouble();
        double halfOpenAtMillis = nowMillis + length * jitter;
        if (!health.isEjected()) {
            actions.log("outlier: host ejected, host=" + host.id() + " failures=" + health.consecutiveFailures()
                    + " backoff_ms=" + Math.round(halfOpenAtMillis - nowMillis));
        }
        health.eject(halfOpenAtMillis);
        hosts.onEjectionChanged(host);
    }
}
