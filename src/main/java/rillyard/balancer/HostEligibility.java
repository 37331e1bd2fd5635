package rillyard.balancer;

/** Checks whether a host may get the next attempt of a request, by each of the rules that can exclude it. */
final class HostEligibility {
    private final RetryPolicy retryPolicy;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final LoadEstimator load;

    HostEligibility(RetryPolicy retryPolicy, OutlierDetector outliers, SlowStart slowStart, LoadEstimator load) {
        this.retryPolicy = retryPolicy;
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.load = load;
    }

    /**
     * Returns whether a host of the subset may get the next attempt. A first attempt must be expected to be answered in
     * time; a retry must go to a host that the request hasn't tried.
     */
    boolean isUsable(HostState host, HostSubset subset, RequestState request, double nowMillis) {
        return retryPolicy.permits(request, host, nowMillis)
                && (request.isFirstAttempt() ? isInTime(host, request, nowMillis) : !request.hasTried(host))
                && isHealthy(host, request, nowMillis)
                && slowStart.permits(host, subset.hostCount(), nowMillis);
    }

    /**
     * Returns whether both the request's earlier attempts and the slow start among {@code hostCount} hosts permit an
     * attempt at the host.
     */
    boolean isPermitted(HostState host, int hostCount, RequestState request, double nowMillis) {
        return retryPolicy.permits(request, host, nowMillis) && slowStart.permits(host, hostCount, nowMillis);
    }

    /** Returns whether the host is neither unresponsive nor ejected, or is due for a probe. */
    boolean isHealthy(HostState host, RequestState request, double nowMillis) {
        return outliers.isAvailable(host, nowMillis, request.requestClass().overdueAfterMillis());
    }

    /**
     * Returns whether the host is expected to respond to a first attempt in time. This is checked for every candidate:
     * if only the winner were checked, an idle host without load reports could win every comparison and cause every
     * request to be rejected.
     */
    boolean isInTime(HostState host, RequestState request, double nowMillis) {
        return load.expectedLatency(host, nowMillis) <= request.maxExpectedLatencyMillis();
    }
}
