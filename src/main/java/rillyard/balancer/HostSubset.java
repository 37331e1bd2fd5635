package rillyard.balancer;

import java.util.List;

/**
 * The hosts among which a proxy chooses.
 *
 * @param local those in the proxy's zone, all if the proxy has none
 * @param remote those in other zones
 * @param candidates number of hosts that are compared for an attempt
 * @param preferWarmingUp whether a host that is warming up is preferred among equal ones
 */
record HostSubset(List<HostState> local, List<HostState> remote, int candidates, boolean preferWarmingUp) {
    /** Returns the number of hosts in all zones. */
    int hostCount() {
        return local.size() + remote.size();
    }
}
