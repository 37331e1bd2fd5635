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
 * <p>A full list that suddenly lacks most hosts comes from a registry that lost its data rather than from that many hosts
 * gone at once. The hosts it lacks are used on for a limited time, so that the others are not overloaded. An explicit
 * statement that a host drains or is removed applies at once. A host that is really gone is avoided after its first
 * failed connects, as any other. Not thread-safe.
 */
public final class EndpointListGuard {
    private final double leastShare;
    private final double holdMillis;
    private final Map<String, Double> retainedUntil = new LinkedHashMap<>();

    /**
     * Creates a guard that retains no host.
     *
     * @param leastShare the share of the ready hosts, from 0 to 1, that a full list has to name, in
     *     any state, to be plausible
     * @param holdMillis for how long (ms, above 0) a host is retained
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
     * Decides about the hosts that a full list lacks.
     *
     * @param now the balancer's clock (ms), as for all times of this class
     * @param ready the hosts in use until now, retained ones included
     * @param named the hosts that the list names, in any state
     * @return the hosts of {@code ready} that the list lacks and that are retained
     */
    public Set<String> onFullList(double now, Set<String> ready, Set<String> named) {
        Set<String> missing = new HashSet<>(ready);
        missing.removeAll(named);
        retainedUntil.keySet().removeIf(name -> !missing.contains(name));
        if (ready.size() - missing.size() >= leastShare * ready.size()) {
            // Plausible, except about hosts that are retained because of an earlier list.
            missing.retainAll(retainedUntil.keySet());
        }
        missing.forEach(name -> retainedUntil.putIfAbsent(name, now + holdMillis));
        missing.removeIf(name -> retainedUntil.get(name) <= now);
        return missing;
    }

    /** Records that a delta names a host, whose announced state applies from now on. */
    public void onNamed(String name) {
        retainedUntil.remove(name);
    }

    /** Returns the hosts whose time has passed, and retains them no longer. */
    public List<String> expired(double now) {
        List<String> expired = new ArrayList<>();
        retainedUntil.entrySet().removeIf(entry -> {
            boolean isExpired = entry.getValue() <= now;
            if (isExpired) {
                expired.add(entry.getKey());
            }
            return isExpired;
        });
        return expired;
    }
}
