package rillyard.balancer;

import java.util.ArrayList;
import java.util.List;

/** Requests and their attempts: what has run, what may be repeated, and the retry budget. */
final class RetryPolicy {
    /** One send of a request to a host. */
    static final class AttemptState {
        final RequestState call;
        final int number;
        final HostState host;
        final String zone;
        final long cell;
        double sentAt; // infinite while the request still comes
        double heldBefore = Double.NaN;
        boolean open = true;
        boolean mayHaveRun = true;
        boolean cancelled;

        AttemptState(RequestState call, int number, HostState host, double sentAt) {
            this.call = call;
            this.number = number;
            this.host = host;
            this.zone = host.zone;
            this.cell = host.cell;
            this.sentAt = sentAt;
        }

        /** Until when (ms) a repeat has to be written if this one may have run: hosts forget keys after a time. */
        double repeatBy() {
            Settings.RequestClass rules = call.type.rules;
            return switch (rules.semantics()) {
                case IDEMPOTENT -> Double.POSITIVE_INFINITY;
                case DEDUPLICATED -> sentAt + rules.idempotencyWindow() - Tuning.WINDOW_MARGIN;
                case AT_MOST_ONCE -> Double.NEGATIVE_INFINITY;
            };
        }

        boolean sharesMemory(HostState target) {
            return switch (call.type.rules.keyScope()) {
                case ALL -> true;
                case ZONE -> target != null && zone != null && zone.equals(target.zone);
                case CELL -> target != null && cell == target.cell;
            };
        }
    }

    /** A client's request while it is held or has attempts out. */
    static final class RequestState {
        final long id;
        final RequestClassStats type;
        final double arrivedAt;
        double deadline;
        final double aimLeft;
        double standing = 1;
        double patience;
        final List<AttemptState> attempts = new ArrayList<>(2);
        int open;
        boolean ended;

        RequestState(long id, RequestClassStats type, double arrivedAt, double budget) {
            this.id = id;
            this.type = type;
            this.arrivedAt = arrivedAt;
            this.deadline = arrivedAt + budget;
            this.aimLeft = type.aimLeft(budget);
        }

        boolean tried(HostState h) {
            return attempts.stream().anyMatch(a -> a.host == h);
        }
    }

    /** A class of requests with its observed answer time. */
    static final class RequestClassStats {
        final Settings.RequestClass rules;
        double meanAnswer;
        double deviation;
        int samples;
        double firstBudget;

        RequestClassStats(Settings.RequestClass rules) {
            this.rules = rules;
            this.meanAnswer = rules.latencyObjective() / 4; // until answers come
            this.deviation = meanAnswer;
        }

        void answered(double spent) {
            samples++;
            double alpha = Math.max(1.0 / (samples + 4), Tuning.LATENCY_ALPHA / 2);
            deviation += alpha * (Math.abs(spent - meanAnswer) - deviation);
            meanAnswer += alpha * (spent - meanAnswer);
        }

        /**
         * What is left (ms) of the aim for a request that came with this budget, below 0 once it is past. The
         * aim runs from the client's first try, and a retry's budget is what is left of the whole deadline.
         * Guards against retries that can't be of use any more taking the place of requests that can. Harm: a
         * client that always asks for less time than others of its class is refused before them in a jam.
         */
        double aimLeft(double budget) {
            double told = Math.min(budget, rules.deadline());
            firstBudget = Math.max(told, firstBudget + Tuning.BUDGET_ALPHA * (told - firstBudget));
            return rules.latencyObjective() - (told < Tuning.RETRY_BUDGET * firstBudget ? rules.deadline() - told : 0);
        }

        /** Whether a request with so much of its aim left would be late, as answers take now. */
        boolean tooLate(double aimLeft) {
            return aimLeft < Math.min(meanAnswer, rules.latencyObjective());
        }

        /** Past this an attempt is overdue: repeating a merely long one would waste its work. */
        double overdueAfter() {
            return meanAnswer + Tuning.OVERDUE_DEVIATIONS * deviation;
        }

        boolean repeatable() {
            return rules.semantics() != Settings.Semantics.AT_MOST_ONCE;
        }
    }

    private final Settings.Limits limits;
    private double retrySavings = Tuning.RETRY_SAVINGS;

    RetryPolicy(Settings.Limits limits) {
        this.limits = limits;
    }

    /** Whether it may go to {@code target}, or be refused where that is null: guards rules 1 and 2. */
    boolean allowed(RequestState c, HostState target, double now) {
        if (c.ended
                || (target != null
                        && (!target.sendable
                                || c.attempts.size() >= limits.maxAttempts()
                                || (c.open > 0 && !limits.mayRunParallelAttempts())
                                || now >= c.deadline))) {
            return false;
        }
        if (c.type.rules.semantics() == Settings.Semantics.IDEMPOTENT) {
            return true;
        }
        for (AttemptState a : c.attempts) {
            if (a.mayHaveRun && (now >= a.repeatBy() || !a.sharesMemory(target))) {
                return false;
            }
        }
        return true;
    }

    /** Until when (ms) the next attempt of the call has to be written. */
    double notAfter(RequestState c) {
        return c.attempts.stream()
                .filter(a -> a.mayHaveRun)
                .mapToDouble(AttemptState::repeatBy)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    AttemptState start(RequestState c, HostState h, double now) {
        AttemptState a = new AttemptState(c, c.attempts.size(), h, Double.isInfinite(c.deadline) ? c.deadline : now);
        c.attempts.add(a);
        c.open++;
        h.inFlight++;
        h.sentSinceReport++;
        h.out.add(a);
        return a;
    }

    void finish(AttemptState a, AttemptOutcome result) {
        a.open = false;
        a.mayHaveRun = !result.provesNotExecuted();
        a.call.open--;
        a.host.inFlight--;
        a.host.out.remove(a);
    }

    void earnRetry() {
        retrySavings = Math.min(Tuning.RETRY_SAVINGS, retrySavings + Tuning.RETRY_RATIO);
    }

    /** Takes one retry from the budget; without it, retries would feed an overload. */
    boolean takeRetry() {
        if (retrySavings < 1) {
            return false;
        }
        retrySavings--;
        return true;
    }
}
