package rillyard.balancer;

import java.util.List;

/**
 * The hosts among which a proxy chooses.
 *
 * @param local those of its zone, all if it has none
 * @param remote those of the other zones
 * @param candidates how many hosts are compared for an attempt
 * @param preferWarmingUp whether a host that is warming up is preferred among equal ones
 */
record HostSubset(List<HostState> local, List<HostState> remote, int candidates, boolean preferWarmingUp) {
    /** Returns the number of hosts in all zones. */
    int hostCount() {
        return local.size() + remote.size();
    }
}
