package rillyard.balancer;

/** Limits retries to a fraction of the requests, as unlimited retries would increase an overload. */
final class RetryBudget {
    private double tokens = Tuning.MAX_RETRY_TOKENS;
    private double lastRequestAtMillis = Double.NEGATIVE_INFINITY;

    /**
     * Adds the retry tokens that a request earns. After a time without requests the budget is raised to at least one
     * retry, however much was spent before.
     */
    void onRequest(double nowMillis) {
        if (nowMillis - lastRequestAtMillis >= Tuning.RETRY_QUIET_MILLIS) {
            tokens = Math.max(1, tokens);
        }
        lastRequestAtMillis = nowMillis;
        tokens = Math.min(Tuning.MAX_RETRY_TOKENS, tokens + Tuning.RETRIES_PER_REQUEST);
    }

    /** Takes one retry token from the budget; returns false, and takes nothing, if there is less than one. */
    boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
