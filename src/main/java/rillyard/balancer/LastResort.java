package rillyard.balancer;

import java.util.List;
import java.util.SplittableRandom;

/** The choice among all hosts, for an attempt for which the subset has none. */
final class LastResort {
    private final HostSet hosts;
    private final HostEligibility eligibility;
    private final SplittableRandom random;

    LastResort(HostSet hosts, HostEligibility eligibility, SplittableRandom random) {
        this.hosts = hosts;
        this.eligibility = eligibility;
        this.random = random;
    }

    /** Returns a healthy host in time; else, unless a healthy one is overloaded, the least loaded unhealthy host. */
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

    /** Returns the host with fewer attempts in flight, {@code first} if they are equal; {@code first} may be null. */
    private static HostState lessLoaded(HostState first, HostState second) {
        return first == null || second.inFlight() < first.inFlight() ? second : first;
    }
}
