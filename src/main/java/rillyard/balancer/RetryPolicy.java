package rillyard.balancer;

/**
 * Decides whether a request may be sent, for the first time or again, by the possible effects of its earlier attempts.
 */
final class RetryPolicy {
    private final Settings.Limits limits;

    RetryPolicy(Settings.Limits limits) {
        this.limits = limits;
    }

    /**
     * Returns whether the request may be sent to {@code target} or, if that is null, whether it may be rejected as not
     * executed.
     */
    boolean permits(RequestState request, HostState target, double nowMillis) {
        if (request.isEnded() || (target != null && !permitsAttempt(request, target, nowMillis))) {
            return false;
        }
        if (request.requestClass().settings().semantics() == Settings.Semantics.IDEMPOTENT) {
            return true;
        }
        for (AttemptState attempt : request.attempts()) {
            if (attempt.mayHaveExecuted()
                    && (nowMillis >= repeatableUntilMillis(attempt) || !sharesKeys(attempt, target))) {
                return false;
            }
        }
        return true;
    }

    private boolean permitsAttempt(RequestState request, HostState target, double nowMillis) {
        return target.isReady()
                && request.attempts().size() < limits.maxAttempts()
                && (request.openAttempts() == 0 || limits.mayRunParallelAttempts())
                && nowMillis < request.deadlineMillis();
    }

    /**
     * Returns the latest time (ms) at which the next attempt may be written, as hosts remember idempotency keys for a
     * limited time.
     */
    double notAfterMillis(RequestState request) {
        return request.attempts().stream()
                .filter(AttemptState::mayHaveExecuted)
                .mapToDouble(RetryPolicy::repeatableUntilMillis)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /**
     * Starts an attempt. If the request is still being received, the attempt counts as sent only with its last byte.
     */
    AttemptState start(RequestState request, HostState host, double nowMillis, double outstandingAtSend) {
        double sentAtMillis = Double.isInfinite(request.deadlineMillis()) ? request.deadlineMillis() : nowMillis;
        return request.startAttempt(host, sentAtMillis, outstandingAtSend);
    }

    private static double repeatableUntilMillis(AttemptState attempt) {
        Settings.RequestClass settings = attempt.requestClass().settings();
        return switch (settings.semantics()) {
            case IDEMPOTENT -> Double.POSITIVE_INFINITY;
            case DEDUPLICATED ->
                attempt.sentAtMillis() + settings.idempotencyWindowMillis() - Tuning.IDEMPOTENCY_MARGIN_MILLIS;
            case AT_MOST_ONCE -> Double.NEGATIVE_INFINITY;
        };
    }

    private static boolean sharesKeys(AttemptState attempt, HostState target) {
        return switch (attempt.requestClass().settings().keyScope()) {
            case ALL -> true;
            case ZONE ->
                target != null && attempt.zone() != null && attempt.zone().equals(target.zone());
            case CELL -> target != null && attempt.cell() == target.cell();
        };
    }
}
