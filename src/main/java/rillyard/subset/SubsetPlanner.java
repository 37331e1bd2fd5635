package rillyard.subset;

import java.util.Collection;
import java.util.Map;
import rillyard.balancer.SubsetPosition;

/**
 * Lays this proxy's pool from the names and rates of all. Where pools are of one size whatever is sent from them, a proxy
 * with ten times the traffic loads a few hosts with it; so size goes with the rate. The order is by a scramble of names, so
 * that proxies of one kind, which are often numbered in a row, don't lie side by side.
 */
public final class SubsetPlanner {
    /** The largest weight: past it nearly all hosts are in the pool of any fleet that this is for. */
    private static final double MOST = 16;

    /** Changes smaller than this part are not worth new connections. */
    private static final double WORTH = 0.25;

    /** A pool moves only by more than this part of the ring. */
    private static final double MOVE = 1 / 64.0;

    private SubsetPosition now;

    /**
     * The pool by what is known, or null where it stays as it was.
     *
     * @param self this proxy's name
     * @param names of all proxies present, this one's among them
     * @param rates requests a second, by name; those not known are left out of the mean
     */
    public SubsetPosition update(String self, Collection<String> names, Map<String, Double> rates) {
        int own = NameHash.of(self);
        int position = 0;
        for (String n : names) {
            int other = NameHash.of(n);
            position += other < own || other == own && n.compareTo(self) < 0 ? 1 : 0;
        }
        double mean = rates.values().stream().mapToDouble(d -> d).average().orElse(0);
        double rate = rates.getOrDefault(self, 0.0);
        double weight = mean > 0 ? Math.min(MOST, Math.max(1, rate / mean)) : 1;
        SubsetPosition next = new SubsetPosition(position, Math.max(1, names.size()), weight, true);
        if (now != null
                && Math.abs(next.weight() / now.weight() - 1) < WORTH
                && Math.abs(part(next) - part(now)) < MOVE) {
            return null;
        }
        now = next;
        return next;
    }

    private static double part(SubsetPosition position) {
        return (double) position.position() / position.proxyCount();
    }
}
