package rillyard.balancer;

/** The requests that a host which is warming up may still get; {@link SlowStart} is the only writer. Not thread-safe. */
final class SlowStartAllowance {
    private double requests;
    private double updatedAt;

    double requests() {
        return requests;
    }

    /** Returns the time (ms) since the last addition. */
    double millisSinceUpdate(double now) {
        return now - updatedAt;
    }

    /** Adds requests, up to {@code most} in all. */
    void add(double now, double earned, double most) {
        requests = Math.min(requests + earned, most);
        updatedAt = now;
    }

    void take() {
        requests--;
    }

    /** Starts anew for a new process of the host. */
    void reset(double now, double initialRequests) {
        requests = initialRequests;
        updatedAt = now;
    }
}
