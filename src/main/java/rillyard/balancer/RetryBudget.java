package rillyard.balancer;

/** Limits retries to a part of the requests, as unlimited retries would feed an overload. */
final class RetryBudget {
    private double tokens = Tuning.MAX_RETRY_TOKENS;
    private double lastRequestAtMillis = Double.NEGATIVE_INFINITY;

    /** Adds what a request earns: one retry at least if it comes after a quiet time, whatever was spent before. */
    void onRequest(double nowMillis) {
        if (nowMillis - lastRequestAtMillis >= Tuning.RETRY_QUIET_MILLIS) {
            tokens = Math.max(1, tokens);
        }
        lastRequestAtMillis = nowMillis;
        tokens = Math.min(Tuning.MAX_RETRY_TOKENS, tokens + Tuning.RETRIES_PER_REQUEST);
    }

    /** Takes one retry from the budget. Returns false, and takes nothing, if less than one is left. */
    boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
