package rillyard.balancer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * A list of hosts in ring order. Adding or removing a host costs a binary search and a shift of the array; reading a
 * window costs time in its size only. Not thread-safe.
 */
final class HostRing {
    private static final Comparator<HostState> RING_ORDER =
            Comparator.comparingLong(HostState::ringPosition).thenComparingLong(HostState::id);

    private final List<HostState> hosts;
    private final List<HostState> hostsView;

    /** Creates a ring that is stored in an empty random-access list, which the caller must not use afterwards. */
    HostRing(List<HostState> emptyList) {
        this.hosts = emptyList;
        this.hostsView = Collections.unmodifiableList(emptyList);
    }

    /** Adds or removes the host; returns whether the ring has changed. */
    boolean setMember(HostState host, boolean isMember) {
        int index = Collections.binarySearch(hosts, host, RING_ORDER);
        if (isMember == (index >= 0)) {
            return false;
        }
        if (isMember) {
            hosts.add(-index - 1, host);
        } else {
            hosts.remove(index);
        }
        return true;
    }

    int size() {
        return hosts.size();
    }

    /** Returns a view of all hosts in ring order. */
    List<HostState> hosts() {
        return hostsView;
    }

    /**
     * Returns a copy of {@code count} consecutive hosts from index {@code start} on, wrapping around at the end; all
     * hosts if there are fewer.
     */
    List<HostState> window(int start, int count) {
        if (hosts.size() <= count) {
            return List.copyOf(hosts);
        }
        List<HostState> window = new ArrayList<>(count);
        for (int index = start; index < start + count; index++) {
            window.add(hosts.get(index % hosts.size()));
        }
        return window;
    }
}
