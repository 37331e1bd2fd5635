package rillyard.endpoints;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Retains hosts that an implausible full list lacks.
 *
 * <p>A full list that suddenly lacks most hosts indicates that the registry lost its data, rather than that so many
 * hosts stopped at once. The missing hosts stay in use for a limited time, so that the others are not overloaded. An
 * explicit announcement that a host drains or is removed applies at once. A host that has really stopped is avoided
 * after its first failed connects, as any other. Not thread-safe.
 */
public final class EndpointListGuard {
    private final double leastShare;
    private final double holdMillis;
    private final Map<String, Double> retainedUntilMillis = new LinkedHashMap<>();

    /**
     * Creates a guard that retains no host.
     *
     * @param leastShare the share of the ready hosts, from 0 to 1, that a full list must contain, in any state, to be
     *     plausible
     * @param holdMillis the time (ms, above 0) for which a host is retained
     * @throws IllegalArgumentException if one is out of its range
     */
    public EndpointListGuard(double leastShare, double holdMillis) {
        if (!(leastShare >= 0 && leastShare <= 1)) {
            throw new IllegalArgumentException("least share of hosts: expected 0 to 1, found " + leastShare);
        }
        if (!(holdMillis > 0 && holdMillis < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("time to hold hosts: expected ms above 0, found " + holdMillis);
        }
        this.leastShare = leastShare;
        this.holdMillis = holdMillis;
    }

    /**
     * Determines which of the hosts that a full list lacks are retained.
     *
     * @param nowMillis the time on the balancer's clock, as all times of this class
     * @param ready the hosts in use until now, retained ones included
     * @param named the hosts that the list names, in any state
     * @return the hosts of {@code ready} that the list lacks and that are retained
     */
    public Set<String> onFullList(double nowMillis, Set<String> ready, Set<String> named) {
        Set<String> missing = new HashSet<>(ready);
        missing.removeAll(named);
        retainedUntilMillis.keySet().removeIf(name -> !missing.contains(name));
        if (ready.size() - missing.size() >= leastShare * ready.size()) {
            // The list is plausible, but hosts that are retained because of an earlier list stay retained.
            missing.retainAll(retainedUntilMillis.keySet());
        }
        missing.forEach(name -> retainedUntilMillis.putIfAbsent(name, nowMillis + holdMillis));
        missing.removeIf(name -> retainedUntilMillis.get(name) <= nowMillis);
        return missing;
    }

    /** Records that a delta names a host, so that its announced state applies from now on. */
    public void onNamed(String name) {
        retainedUntilMillis.remove(name);
    }

    /** Returns the hosts whose hold time has passed, and stops retaining them. */
    public List<String> expired(double nowMillis) {
        List<String> expired = new ArrayList<>();
        retainedUntilMillis.entrySet().removeIf(entry -> {
            boolean isExpired = entry.getValue() <= nowMillis;
            if (isExpired) {
                expired.add(entry.getKey());
            }
            return isExpired;
        });
        return expired;
    }
}
