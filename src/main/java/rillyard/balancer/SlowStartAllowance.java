package rillyard.balancer;

/** The requests that a host which is warming up may still get; {@link SlowStart} is the only writer. Not thread-safe. */
final class SlowStartAllowance {
    private double requests;
    private double fraction; // of a request: what is left of all that was earned, once whole requests are taken off
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

    /** Adds requests, up to {@code most} in all. */
    void add(double nowMillis, double earned, double most) {
        requests = Math.min(requests + earned, most);
        fraction = (fraction + earned) % 1;
        updatedAtMillis = nowMillis;
    }

    void take() {
        requests--;
    }

    /**
     * Gives up the whole requests that have been saved. The fraction of a request that stays is independent of that of the
     * other proxies, so that they don't all send a request at once.
     */
    void forfeitSaved() {
        requests = Math.min(requests, fraction);
    }

    /** Starts anew for a new process of the host. */
    void reset(double nowMillis, double initialRequests) {
        requests = initialRequests;
        fraction = initialRequests;
        updatedAtMillis = nowMillis;
    }
}
