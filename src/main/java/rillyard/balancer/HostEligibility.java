package rillyard.balancer;

/** Whether a host may get the next attempt of a request, by each of the rules that can exclude it. */
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

    /** Whether the host of a subset may get the attempt: a first one where it is in time, a retry where none has been. */
    boolean isUsable(HostState host, HostSubset subset, RequestState request, double nowMillis) {
        return retryPolicy.permits(request, host, nowMillis)
                && (request.isFirstAttempt() ? isInTime(host, request, nowMillis) : !request.hasTried(host))
                && isHealthy(host, request, nowMillis)
                && slowStart.permits(host, subset.hostCount(), nowMillis);
    }

    /** Whether neither the earlier attempts nor a slow start among {@code hostCount} hosts forbid an attempt at the host. */
    boolean isPermitted(HostState host, int hostCount, RequestState request, double nowMillis) {
        return retryPolicy.permits(request, host, nowMillis) && slowStart.permits(host, hostCount, nowMillis);
    }

    /** Whether the host is neither unresponsive nor ejected, or is to be probed. */
    boolean isHealthy(HostState host, RequestState request, double nowMillis) {
        return outliers.isAvailable(host, nowMillis, request.requestClass().overdueAfterMillis());
    }

    /**
     * Whether the host is expected to answer a first attempt in time. Checked for every candidate: were only the winner
     * checked, an idle host without load reports could win every comparison and cause every request to be rejected.
     */
    boolean isInTime(HostState host, RequestState request, double nowMillis) {
        return load.expectedLatency(host, nowMillis) <= request.maxExpectedLatencyMillis();
    }
}
