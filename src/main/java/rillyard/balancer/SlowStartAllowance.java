package rillyard.balancer;

/** The requests that a host which is warming up may still get; {@link SlowStart} is the only writer. Not thread-safe. */
final class SlowStartAllowance {
    private double requests;
    private double updatedAtMillis;

    double requests() {
        return requests;
    }

    /** Returns the time (ms) since the last addition. */
    double millisSinceUpdate(double nowMillis) {
        return nowMillis - updatedAtMillis;
    }

    /** Adds requests, up to {@code most} in all. */
    void add(double nowMillis, double earned, double most) {
        requests = Math.min(requests + earned, most);
        updatedAtMillis = nowMillis;
    }

    void take() {
        requests--;
    }

    /** Starts anew for a new process of the host. */
    void reset(double nowMillis, double initialRequests) {
        requests = initialRequests;
        updatedAtMillis = nowMillis;
    }
}
