package rillyard.balancer;

import java.util.List;
import java.util.SplittableRandom;

/** Selects a host among all hosts for an attempt for which the subset has none. */
final class FallbackSelector {
    private final HostSet hosts;
    private final HostEligibility eligibility;
    private final SplittableRandom random;

    FallbackSelector(HostSet hosts, HostEligibility eligibility, SplittableRandom random) {
        this.hosts = hosts;
        this.eligibility = eligibility;
        this.random = random;
    }

    /**
     * Returns a healthy host that the request hasn't tried and, for a first attempt, that is expected to respond in
     * time. If there is none, a first attempt gets the unhealthy host with the fewest attempts in flight that is
     * expected to respond in time, unless a healthy host is overloaded. Returns null if no host is eligible.
     */
    HostState select(RequestState request, double nowMillis) {
        List<HostState> all = hosts.ready();
        int start = all.isEmpty() ? 0 : random.nextInt(all.size());
        HostState leastLoaded = null;
        boolean overloaded = false;
        for (int offset = 0; offset < all.size(); offset++) {
            HostState host = all.get((start + offset) % all.size());
            if (!eligibility.isPermitted(host, all.size(), request, nowMillis)) {
                continue;
            }
            boolean late = request.isFirstAttempt() && !eligibility.isInTime(host, request, nowMillis);
            boolean healthy = eligibility.isHealthy(host, request, nowMillis);
            if (healthy && !late && !request.hasTried(host)) {
                return host;
            }
            overloaded = overloaded || (healthy && late);
            if (request.isFirstAttempt() && !late) {
                leastLoaded = lessLoaded(leastLoaded, host);
            }
        }
        return overloaded ? null : leastLoaded;
    }

    /** Returns the host with fewer attempts in flight, {@code first} on a tie; {@code first} may be null. */
    private static HostState lessLoaded(HostState first, HostState second) {
        return first == null || second.inFlight() < first.inFlight() ? second : first;
    }
}
