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
    private final double objective;
    private final SplittableRandom random;
    private final BalancerActions actions;

    OutlierDetector(HostSet hosts, double objective, SplittableRandom random, BalancerActions actions) {
        this.hosts = hosts;
        this.objective = objective;
        this.random = random;
        this.actions = actions;
    }

    /** Whether the host may get a request; one that is half-open gets one at a time. */
    boolean isAvailable(HostState host, double now, double overdueAfter) {
        HostHealth health = host.health();
        if (now < health.ejectedUntil()) {
            return false;
        }
        if (health.isEjected()) {
            return host.inFlight() == 0;
        }
        return !isUnresponsive(host, now, overdueAfter);
    }

    /** Whether the host has answered nothing for so long, with complete requests in flight, that it seems to hang. */
    boolean isUnresponsive(HostState host, double now, double overdueAfter) {
        for (AttemptState attempt : host.attempts()) {
            if (!isOvertaken(attempt) && attempt.sentAt() <= now) {
                double since = Math.max(attempt.sentAt(), host.health().lastAnswerAt());
                double expected =
                        overdueAfter * Math.max(1, host.load().slowness().lastValue());
                return now - since > Math.max(Tuning.MIN_UNRESPONSIVE_MILLIS, expected);
            }
        }
        return false;
    }

    /** Whether the host has answered a later attempt: it has lost this one, but neither hangs nor has a long queue. */
    static boolean isOvertaken(AttemptState attempt) {
        return attempt.sentAt() < attempt.host().newestAnsweredSentAt();
    }

    /** Returns how many attempts in flight are overtaken and past their objective, without those of class {@code except}. */
    static int lostAttempts(HostState host, RequestClassStats except, double now) {
        int count = 0;
        for (AttemptState attempt : host.attempts()) {
            if (!isOvertaken(attempt)) {
                break; // they are in the order of their sends
            }
            RequestClassStats requestClass = attempt.requestClass();
            if (requestClass != except
                    && now - attempt.sentAt() > requestClass.settings().latencyObjective()) {
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
    double weightedInFlight(HostState host, RequestClassStats requestClass, double now) {
        return host.inFlight()
                - lostAttempts(host, requestClass, now)
                + penalty(host, now)
                + Tuning.FAILURE_RATE_PENALTY * host.health().failureRate(requestClass, now);
    }

    private static double penalty(HostState host, double now) {
        DecayingCounter penalty = host.health().penalty();
        return penalty.lastValue() < MIN_PENALTY ? 0 : penalty.valueAt(now);
    }

    private static void addPenalty(HostState host, double now) {
        host.health().penalty().set(now, penalty(host, now) + Tuning.FAILURE_PENALTY);
    }

    /** Records whether an attempt of this class was lost or answered. */
    void onAttemptEnded(HostState host, RequestClassStats requestClass, double now, boolean lost) {
        host.health().recordEnd(requestClass, now, lost, Tuning.SAMPLE_WEIGHT);
    }

    /** Records a successful answer, which ends an ejection. */
    void onSuccess(HostState host, double now) {
        host.health().recordAnswer(now);
        host.health().recordSuccess();
        readmit(host);
    }

    /** Records a failure; {@code answered} tells whether the host has sent an answer. */
    void onFailure(HostState host, double now, boolean answered) {
        HostHealth health = host.health();
        if (answered) {
            health.recordAnswer(now);
        }
        health.recordFailure();
        addPenalty(host, now);
        if (now >= health.ejectedUntil()
                && (health.isEjected() || health.consecutiveFailures() >= Tuning.EJECTION_FAILURES)
                && mayEject(host)) {
            eject(host, now);
        }
    }

    /** Records that the host rejected an attempt as over its capacity, which gives it a penalty but is no failure. */
    void onRejection(HostState host, double now) {
        host.health().recordAnswer(now);
        addPenalty(host, now);
        readmit(host);
    }

    private void readmit(HostState host) {
        if (host.health().isEjected()) {
            host.health().readmit();
            actions.log("outlier: host readmitted, host=" + host.id());
        }
    }

    /** Applies what the fleet has found: ejects the host until {@code probeAt} or later, or probes it by then. */
    void onFleetEjection(HostState host, boolean ejected, double probeAt) {
        HostHealth health = host.health();
        if (!ejected) {
            health.moveProbe(Math.min(health.ejectedUntil(), probeAt));
        } else if (mayEject(host)) {
            health.eject(Math.max(health.ejectedUntil(), probeAt));
        }
    }

    /** Whether few enough other hosts are ejected; a fault of many must not overload the rest. */
    private boolean mayEject(HostState host) {
        long ejected = hosts.ready().stream()
                .filter(other -> other.health().isEjected() && other != host)
                .count();
        return ejected < Tuning.MAX_EJECTED_FRACTION * hosts.ready().size();
    }

    private void eject(HostState host, double now) {
        HostHealth health = host.health();
        if (now - health.lastEjectionAt() > Tuning.EJECTION_RESET_OBJECTIVES * objective) {
            health.resetBackoff();
        }
        double backoff = Tuning.BASE_EJECTION_OBJECTIVES * Math.pow(2, health.ejections());
        double length = objective * Math.min(Tuning.MAX_EJECTION_OBJECTIVES, backoff);
        health.countEjection(now);
        double jitter = MIN_EJECTION_JITTER + EJECTION_JITTER_SPAN * random.nextDouble();
        double ejectedUntil = now + length * jitter;
        if (!health.isEjected()) {
            actions.log("outlier: host ejected, host=" + host.id() + " failures=" + health.consecutiveFailures()
                    + " backoff_ms=" + Math.round(ejectedUntil - now));
        }
        health.eject(ejectedUntil);
    }
}
