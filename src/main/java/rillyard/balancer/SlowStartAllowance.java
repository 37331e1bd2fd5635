package rillyard.balancer;

/**
 * The number of requests that a host which is warming up may still get. {@link SlowStart} updates it, and {@link
 * HostSet} resets it for a new process. Not thread-safe.
 */
final class SlowStartAllowance {
    private double requests;
    private double earnedFraction; // fractional part of the total number of requests earned
    private double updatedAtMillis;

    double requests() {
        return requests;
    }

    /** Returns when the last addition was made (ms). */
    double updatedAtMillis() {
        return updatedAtMillis;
    }

    /** Returns the time (ms) since the last addition. */
    double millisSinceUpdate(double nowMillis) {
        return nowMillis - updatedAtMillis;
    }

    /** Adds earned requests; the total is limited to {@code max}. */
    void add(double nowMillis, double earned, double max) {
        requests = Math.min(requests + earned, max);
        earnedFraction = (earnedFraction + earned) % 1;
        updatedAtMillis = nowMillis;
    }

    void take() {
        requests--;
    }

    /**
     * Discards the whole requests that have accumulated. The fractional part that remains is independent of that of
     * other proxies, so that they don't all send a request at once.
     */
    void discardAccumulated() {
        requests = Math.min(requests, earnedFraction);
    }

    /** Resets the allowance for a new process of the host. */
    void reset(double nowMillis, double initialRequests) {
        requests = initialRequests;
        earnedFraction = initialRequests;
        updatedAtMillis = nowMillis;
    }
}
