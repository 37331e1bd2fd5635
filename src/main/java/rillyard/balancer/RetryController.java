package rillyard.balancer;

/**
 * Decides whether a request gets another attempt: a retry after an attempt that ended, or a hedged request beside an
 * overdue one.
 */
final class RetryController {
    /**
     * Fraction of the overdue time that suffices when the hedging timer fires, as rounding may make timers fire
     * slightly early.
     */
    private static final double TIMER_TOLERANCE = 0.99;

    private final Settings.Limits limits;
    private final RetryBudget budget;
    private final AdmissionController admission;
    private final OutlierDetector outliers;
    private final AttemptController attempts;

    RetryController(
            Settings.Limits limits,
            RetryBudget budget,
            AdmissionController admission,
            OutlierDetector outliers,
            AttemptController attempts) {
        this.limits = limits;
        this.budget = budget;
        this.admission = admission;
        this.outliers = outliers;
        this.attempts = attempts;
    }

    /**
     * Retries a request without an attempt in flight; returns false if a retry is not allowed or no host is eligible.
     */
    boolean retry(RequestState request, double nowMillis) {
        return hasTime(request, nowMillis)
                && !admission.isOverloaded(nowMillis)
                && budget.tryTake()
                && attempts.start(request, nowMillis);
    }

    /**
     * Hedges an overdue request. If only one attempt may be in flight, cancels it instead, so that a retry can follow.
     */
    void hedge(RequestState request, double nowMillis) {
        AttemptState last = request.lastAttempt();
        if (!mayHedge(request, last, nowMillis)) {
            return;
        }
        if (!limits.mayRunParallelAttempts()) {
            attempts.cancel(last);
        } else if (budget.tryTake()) {
            attempts.startWithinLimit(request, nowMillis);
        }
    }

    /**
     * Returns whether the host seems to have lost the attempt: hedging requests that just take long would increase an
     * overload.
     */
    private boolean mayHedge(RequestState request, AttemptState last, double nowMillis) {
        return hasTime(request, nowMillis)
                && admission.pressure(nowMillis) <= Tuning.SHED_PRESSURE
                && (OutlierDetector.isOvertaken(last) || isHostUnresponsive(last, nowMillis));
    }

    private boolean isHostUnresponsive(AttemptState attempt, double nowMillis) {
        double overdueAfterMillis = TIMER_TOLERANCE * attempt.requestClass().overdueAfterMillis();
        return outliers.isUnresponsive(attempt.host(), nowMillis, overdueAfterMillis);
    }

    private static boolean hasTime(RequestState request, double nowMillis) {
        return nowMillis < request.deadlineMillis() - Tuning.MIN_REMAINING_MILLIS;
    }
}
