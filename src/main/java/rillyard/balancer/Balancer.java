package rillyard.balancer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The decisions of one client proxy. Feed it events with a clock in ms that never goes back; it
 * answers through {@link BalancerActions}. Not safe for use from several threads at once.
 */
public final class Balancer {
    private static final long FOLLOW_TIMER = -1;

    private final Settings settings;
    private final BalancerActions actions;
    private final SplittableRandom random;
    private final HostSet fleet;
    private final OutlierDetector health;
    private final RetryPolicy attempts;
    private final AdmissionController admission;
    private final HostSelector draw;
    private final Map<String, RetryPolicy.RequestClassStats> classes = new HashMap<>();
    private final Map<Long, RetryPolicy.RequestState> calls = new HashMap<>();
    private double followBackoff = Tuning.FOLLOW_BACKOFF;
    private boolean followTimer;

    /** Creates an instance that knows no host yet. */
    public Balancer(Settings settings, long seed, BalancerActions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        this.fleet = new HostSet(settings);
        this.health = new OutlierDetector(fleet, settings.meanLatencyObjective(), random, actions);
        this.attempts = new RetryPolicy(settings.limits());
        this.admission = new AdmissionController(settings, random, actions);
        this.draw = new HostSelector(settings, fleet, health, attempts, admission, random);
        settings.classes().forEach(c -> classes.put(c.name(), new RetryPolicy.RequestClassStats(c)));
    }

    /** Called once after creation, when actions may be taken. */
    public void onStart(double now) {
        if (settings.mustSubscribe()) {
            actions.subscribe();
        }
    }

    /** News from discovery. */
    public void onWatchEvent(double now, WatchEvent kind, List<EndpointEntry> entries) {
        fleet.apply(now, kind, entries, random);
        if (kind == WatchEvent.FAILED && settings.mustSubscribe() && !followTimer) {
            // Discovery is scarce: wait longer each time, at chance, but never past what a change allows.
            followTimer = true;
            actions.scheduleTimer(followBackoff * (0.5 + random.nextDouble()), FOLLOW_TIMER);
            followBackoff = Math.min(2 * followBackoff, settings.rules().pollInterval(Tuning.FOLLOW_MOST));
        } else if (kind == WatchEvent.DELTA || kind == WatchEvent.FULL) {
            followBackoff = Tuning.FOLLOW_BACKOFF;
        }
    }

    /** Listed hosts that get no request as a matter of course: not ready, or ejected. */
    public int avoidedHostCount() {
        return fleet.avoided();
    }

    /** Proxies that speak to each other have left a host, or take it back; it may be tried in {@code wait} ms. */
    public void onFleetEjection(double now, long host, boolean left, double wait) {
        health.heed(fleet.get(host), left, now + wait);
    }

    /** From here on this proxy draws from a pool laid there, instead of where the settings have it. */
    public void onSubsetPosition(SubsetPosition place) {
        draw.place(place);
    }

    /** A request that came with an infinite budget is whole: {@code budget} ms are left of its time. */
    public void onRequestComplete(double now, long request, double budget) {
        RetryPolicy.RequestState c = calls.get(request);
        if (c != null) {
            c.deadline = now + budget;
            c.attempts.forEach(a -> a.sentAt = Math.min(a.sentAt, now));
        }
    }

    /** A client's request has come, or so much of it that the rest has to follow it to a host. */
    public void onRequest(double now, IncomingRequest arrival) {
        RetryPolicy.RequestClassStats type = classes.computeIfAbsent(arrival.requestClass(), n -> unknown(n, arrival));
        RetryPolicy.RequestState c = new RetryPolicy.RequestState(arrival.id(), type, now, arrival.remainingTime());
        admission.arrived(now, type.rules, arrival.tenant());
        c.standing = admission.standing(arrival.tenant());
        attempts.earnRetry();
        calls.put(c.id, c);
        if (admission.refuses(now, c)) {
            admission.ended(false);
            conclude(c, now);
        } else {
            begin(c, now);
        }
    }

    /** A class that the settings do not name: taken for the strictest kind. */
    private static RetryPolicy.RequestClassStats unknown(String name, IncomingRequest a) {
        double budget = Math.max(1, a.remainingTime());
        return new RetryPolicy.RequestClassStats(new Settings.RequestClass(
                name, budget, budget, Settings.Semantics.AT_MOST_ONCE, Settings.Scope.ALL, 0, 1, 0));
    }

    /** An attempt has ended. {@code over} tells that the request is over with it or before. */
    public void onAttemptOutcome(
            double now, long request, int number, AttemptOutcome result, double spent, boolean over, LoadReport load) {
        RetryPolicy.RequestState c = calls.get(request);
        if (c == null || number < 0 || number >= c.attempts.size() || !c.attempts.get(number).open) {
            return;
        }
        RetryPolicy.AttemptState a = c.attempts.get(number);
        attempts.finish(a, result);
        admission.inFlight(now, -1);
        fleet.reported(a.host, now, load, result != AttemptOutcome.FULL);
        learn(a, result, now, spent, c);
        if (over && !c.ended) {
            cancelAll(c);
        } else if (!c.ended) {
            again(c, now);
        }
        forgetIfDone(c);
    }

    private void learn(
            RetryPolicy.AttemptState a, AttemptOutcome result, double now, double spent, RetryPolicy.RequestState c) {
        RetryPolicy.RequestClassStats type = c.type;
        admission.ended(result == AttemptOutcome.OK);
        if (result == AttemptOutcome.OK || result == AttemptOutcome.TIMEOUT || result == AttemptOutcome.RESET) {
            health.ended(a.host, type, now, result != AttemptOutcome.OK); // errors are charged, and known at once
        }
        switch (result) {
            case OK -> {
                health.succeeded(a.host, now);
                a.host.newestAnswered = Math.max(a.host.newestAnswered, a.sentAt);
                fleet.answered(a.host, now, spent / Math.max(0.1, type.meanAnswer));
                type.answered(spent);
                fleet.queued(a.host, a.heldBefore, spent);
                admission.answered(now, spent / type.rules.latencyObjective(), false);
            }
            case ERROR -> health.failed(a.host, now, true);
            case FULL -> {
                // Guards against a jam that spreads: a full host is busy, not broken.
                health.crowded(a.host, now);
                admission.answered(now, 0, true);
            }
            case TIMEOUT -> {
                if (!health.overtaken(a)) {
                    health.failed(a.host, now, false);
                    admission.answered(now, 0, true);
                }
            }
            case RESET, CONNECT_FAILED -> health.failed(a.host, now, false);
            case CANCELLED, MOOT -> {}
        }
    }

    private void again(RetryPolicy.RequestState c, double now) {
        if (c.open > 0) {
            return; // another attempt may still answer
        }
        if (now < c.deadline - Tuning.LAST_SEND && !admission.jammed(now) && attempts.takeRetry()) {
            begin(c, now);
        } else {
            conclude(c, now);
        }
    }

    /** The client has gone; attempts that are out still get their outcome. */
    public void onClientDisconnected(double now, long request) {
        RetryPolicy.RequestState c = calls.get(request);
        if (c != null && !c.ended) {
            cancelAll(c);
            forgetIfDone(c);
        }
    }

    /** A timer has come due. */
    public void onTimer(double now, long token) {
        if (token == FOLLOW_TIMER) {
            followTimer = false;
            actions.subscribe();
            return;
        }
        RetryPolicy.RequestState c = calls.get(token);
        if (c != null && !c.ended && c.open > 0) {
            overdue(c, now);
        }
    }

    /** The last attempt is overdue: a second copy, or where only one may be out, another in place. */
    private void overdue(RetryPolicy.RequestState c, double now) {
        // Guards against copies of costly requests feeding a jam: only silence earns a second copy.
        RetryPolicy.AttemptState last = c.attempts.get(c.attempts.size() - 1);
        if (now >= c.deadline - Tuning.LAST_SEND
                || admission.pressure(now) > Tuning.REFUSE_FROM
                || !(health.overtaken(last) || health.silent(last.host, now, 0.99 * c.type.overdueAfter()))) {
            return;
        }
        if (settings.limits().mayRunParallelAttempts()) {
            HostState h = attempts.takeRetry() ? draw.pick(c, now) : null;
            if (h != null) {
                send(c, h, now);
            }
        } else if (settings.limits().mayCancel() && !last.cancelled) {
            last.cancelled = true;
            actions.cancel(c.id, last.number);
        }
    }

    private void begin(RetryPolicy.RequestState c, double now) {
        // Guards against a jam: where no host can answer in time, no work is begun.
        c.patience = Tuning.REFUSE_AT * Math.max(0, c.aimLeft) * Math.max(Tuning.LEAST_STANDING, c.standing);
        HostState h = draw.pick(c, now);
        if (h == null) {
            conclude(c, now);
        } else {
            send(c, h, now);
        }
    }

    private void send(RetryPolicy.RequestState c, HostState h, double now) {
        boolean told = now - h.reportAt <= Tuning.REPORT_FRESH;
        double held = told ? h.report.outstanding() + h.sentSinceReport : Double.NaN;
        double notAfter = attempts.notAfter(c);
        attempts.start(c, h, now).heldBefore = held;
        admission.inFlight(now, 1);
        actions.send(c.id, h.id, 0, notAfter);
        double due = c.type.overdueAfter() * Math.max(1, fleet.slowness(h, now));
        if (c.type.repeatable() && now + due < c.deadline && c.attempts.size() < 3) {
            actions.scheduleTimer(due, c.id);
        }
    }

    /** The final answer, where no attempt can bring it any more. */
    private void conclude(RetryPolicy.RequestState c, double now) {
        if (attempts.allowed(c, null, now)) {
            admission.turnedAway(now, c);
            actions.reject(c.id, 0);
        } else {
            actions.fail(c.id);
        }
        c.ended = true;
        forgetIfDone(c);
    }

    private void cancelAll(RetryPolicy.RequestState c) {
        c.ended = true;
        for (RetryPolicy.AttemptState a : c.attempts) {
            if (a.open && !a.cancelled && settings.limits().mayCancel()) {
                a.cancelled = true;
                actions.cancel(c.id, a.number);
            }
        }
    }

    private void forgetIfDone(RetryPolicy.RequestState c) {
        if (c.ended && c.open == 0) {
            calls.remove(c.id);
        }
    }
}
