package rillyard.balancer;

import java.util.SplittableRandom;

/** Outlier detection: silence, failures, ejection with growing back-off, half-open trials. */
final class OutlierDetector {
    private final HostSet fleet;
    private final double aim;
    private final SplittableRandom random;
    private final BalancerActions actions;

    OutlierDetector(HostSet fleet, double aim, SplittableRandom random, BalancerActions actions) {
        this.fleet = fleet;
        this.aim = aim;
        this.random = random;
        this.actions = actions;
    }

    /** Whether the host may be a candidate; half-open hosts get one request at a time. */
    boolean available(HostState h, double now, double overdue) {
        return now >= h.ejectedUntil && (h.halfOpen ? h.inFlight == 0 : !silent(h, now, overdue));
    }

    /**
     * Guards against hosts that take work and answer nothing: time-outs tell of them much too late, so the
     * time since the last answer, with whole requests out, is held against the expected answer time.
     */
    boolean silent(HostState h, double now, double overdue) {
        for (RetryPolicy.AttemptState a : h.out) {
            if (!overtaken(a) && a.sentAt <= now) {
                double since = Math.max(a.sentAt, h.lastAnswer);
                return now - since > Math.max(Tuning.SILENCE_FLOOR, overdue * Math.max(1, h.slowness));
            }
        }
        return false;
    }

    /**
     * Whether what was sent to the host later has been answered. Guards against a host that loses some of
     * what it gets being taken for one that hangs, or for a queue: it is of use for the others.
     */
    boolean overtaken(RetryPolicy.AttemptState a) {
        return a.sentAt < a.host.newestAnswered;
    }

    /** The extra count that failures charge to a host: an empty failing host must not attract. */
    double charge(HostState h, double now) {
        return h.charge < 0.05 ? 0 : h.charge * Math.exp(-(now - h.chargeAt) / (Tuning.CHARGE_FADE * aim));
    }

    /**
     * What a request of this class counts at the host: the own ones in flight, and what losses add. Guards
     * against a host that loses one class, or a part of each, and is quick with the rest: it looks idle. It
     * is used where the others are busier by as much, so its room is not lost and no trial is needed. Harm:
     * a class that is lost everywhere by its own fault is spread by chance losses instead of by counts.
     */
    double count(HostState h, RetryPolicy.RequestClassStats type, double now) {
        return h.inFlight
                - fleet.lost(h, type, now)
                + charge(h, now)
                + Tuning.LOSS_CHARGE * lossShare(h.losses.get(type), now);
    }

    private double lossShare(HostSet.FailureRate l, double now) {
        return l == null ? 0 : l.share * Math.exp(-(now - l.at) / (Tuning.LOSS_FADE * aim));
    }

    /** An attempt of this class was answered, or was lost. */
    void ended(HostState h, RetryPolicy.RequestClassStats type, double now, boolean lost) {
        HostSet.FailureRate l = h.losses.computeIfAbsent(type, t -> new HostSet.FailureRate());
        double share = lossShare(l, now);
        l.share = share + Tuning.LATENCY_ALPHA * ((lost ? 1 : 0) - share);
        l.at = now;
    }

    void succeeded(HostState h, double now) {
        h.lastAnswer = now;
        h.failuresInRow = 0;
        readmit(h);
    }

    private void readmit(HostState h) {
        if (h.halfOpen) {
            h.halfOpen = false;
            actions.log("host " + h.id + " readmitted");
        }
    }

    void failed(HostState h, double now, boolean answered) {
        if (answered) {
            h.lastAnswer = now;
        }
        h.failuresInRow++;
        h.charge = charge(h, now) + Tuning.FAILURE_CHARGE;
        h.chargeAt = now;
        if (now >= h.ejectedUntil && (h.halfOpen || h.failuresInRow >= Tuning.FAILURES_IN_A_ROW)) {
            eject(h, now);
        }
    }

    /** The host turned work away as full: it is charged for it, but not held to be failing. */
    void crowded(HostState h, double now) {
        h.lastAnswer = now;
        h.charge = charge(h, now) + Tuning.FAILURE_CHARGE;
        h.chargeAt = now;
        readmit(h);
    }

    /** What peers found of a host only takes from it: left out until then at least, or till then at most. */
    void heed(HostState h, boolean left, double until) {
        if (h != null && left && mayLeave(h)) {
            h.ejectedUntil = Math.max(h.ejectedUntil, until);
            h.halfOpen = true;
        } else if (h != null && !left) {
            h.ejectedUntil = Math.min(h.ejectedUntil, until);
        }
    }

    /** Guards against a fault that many hosts show at once: to leave them all out would bury the rest. */
    private boolean mayLeave(HostState h) {
        long out = fleet.ready().stream().filter(o -> o.halfOpen && o != h).count();
        return out < Tuning.EJECT_PART * fleet.ready().size();
    }

    private void eject(HostState h, double now) {
        if (!mayLeave(h)) {
            return;
        }
        if (now - h.lastEjection > Tuning.EJECT_FORGET * aim) {
            h.ejections = 0;
        }
        double length = aim * Math.min(Tuning.EJECT_MAX, Tuning.EJECT_BASE * Math.pow(2, h.ejections));
        h.ejections++;
        h.lastEjection = now;
        // Spread, so that many proxies do not try the host again in the same moment.
        h.ejectedUntil = now + length * (0.75 + 0.5 * random.nextDouble());
        if (!h.halfOpen) {
            actions.log("host " + h.id + " ejected");
        }
        h.halfOpen = true;
    }
}
