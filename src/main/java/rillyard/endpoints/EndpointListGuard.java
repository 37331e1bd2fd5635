package rillyard.endpoints;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Doubts a whole list that suddenly lacks most hosts: rather a registry that has lost its memory than
 * that many hosts gone at once. The hosts it lacks are used on for a while, so that the rest is not
 * overrun; what a list says in so many words, that a host drains or is removed, holds at once.
 * A host that is really gone is left alone after its first failed connects, as any is. Not safe for use
 * from several threads at once.
 */
public final class EndpointListGuard {
    private final double leastShare;
    private final double holdMillis;
    private final Map<String, Double> held = new LinkedHashMap<>();

    /**
     * Makes one that holds nothing yet.
     *
     * @param leastShare the share of the ready hosts, from 0 to 1, that a whole list has to name, in
     *     whatever state, to be believed about those that it leaves out
     * @param hold for how long (ms, above 0) a host is used on that such a list lacks
     * @throws IllegalArgumentException if one is out of its range
     */
    public EndpointListGuard(double leastShare, double hold) {
        if (!(leastShare >= 0 && leastShare <= 1)) {
            throw new IllegalArgumentException("least share of hosts: expected 0 to 1, found " + leastShare);
        }
        if (!(hold > 0 && hold < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("time to hold hosts: expected ms above 0, found " + hold);
        }
        this.leastShare = leastShare;
        this.holdMillis = hold;
    }

    /**
     * A whole list has come.
     *
     * @param now the module's clock (ms), as for all of its times
     * @param ready the hosts that were in use until now, those that are held among them
     * @param named the hosts that the list names, in whatever state
     * @return those of {@code ready} that the list lacks and that are used on nevertheless
     */
    public Set<String> onFullList(double now, Set<String> ready, Set<String> named) {
        Set<String> lacks = new HashSet<>(ready);
        lacks.removeAll(named);
        held.keySet().removeIf(name -> !lacks.contains(name));
        if (ready.size() - lacks.size() >= leastShare * ready.size()) {
            // Believed, but for hosts whose time has not passed since a list that was not: the doubt about
            // them is no smaller because those that are left are all here.
            lacks.retainAll(held.keySet());
        }
        lacks.forEach(name -> held.putIfAbsent(name, now + holdMillis));
        lacks.removeIf(name -> held.get(name) <= now);
        return lacks;
    }

    /** A change names this host: from now on it is what the change says. */
    public void onNamed(String name) {
        held.remove(name);
    }

    /** The hosts whose time has passed by now: they are gone. */
    public List<String> expired(double now) {
        List<String> over = new ArrayList<>();
        held.entrySet().removeIf(e -> {
            boolean past = e.getValue() <= now;
            if (past) {
                over.add(e.getKey());
            }
            return past;
        });
        return over;
    }
}
