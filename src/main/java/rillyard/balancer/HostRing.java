package rillyard.balancer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * Hosts in ring order, kept sorted as they come and go: a change searches for its place and shifts an array, a look at a
 * few neighbours costs time in their number only. Not thread-safe.
 */
final class HostRing {
    private static final Comparator<HostState> RING_ORDER =
            Comparator.comparingLong(HostState::ringPosition).thenComparingLong(HostState::id);

    private final List<HostState> hosts;
    private final List<HostState> hostsView;

    /** Creates a ring in an empty list with fast access by index, which belongs to the ring from then on. */
    HostRing(List<HostState> emptyList) {
        this.hosts = emptyList;
        this.hostsView = Collections.unmodifiableList(emptyList);
    }

    /** Adds the host, or removes it; returns whether that was a change. */
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

    /** Returns all hosts in ring order, as a view. */
    List<HostState> hosts() {
        return hostsView;
    }

    /** Returns a copy of {@code count} neighbours from index {@code start} on, over the end of the ring; all if there are fewer. */
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
