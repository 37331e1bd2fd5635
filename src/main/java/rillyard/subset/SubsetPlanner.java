package rillyard.subset;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import rillyard.balancer.SubsetPosition;

/**
 * Computes the position and weight of this proxy's host subset from the fleet's membership and request rates.
 *
 * <p>A subset's size is proportional to the proxy's request rate relative to the mean, so that a busy proxy doesn't
 * concentrate its traffic on a few hosts. Proxies are ordered by a hash of their names, so that instances with
 * consecutive names are not adjacent. Not thread-safe.
 */
public final class SubsetPlanner {
    /** Maximum weight; a larger one would include nearly all hosts in the subset in any fleet of the intended size. */
    private static final double MAX_WEIGHT = 16;

    /**
     * Relative change in weight below which the subset is kept, as new connections would cost more than the change
     * gains.
     */
    private static final double MIN_WEIGHT_CHANGE = 0.25;

    /** Fraction of the ring below which a move of the subset is skipped. */
    private static final double MIN_RING_MOVE_FRACTION = 1 / 64.0;

    private SubsetPosition current;

    /**
     * Returns the new subset position, empty if the current one is kept.
     *
     * @param proxyNames names of all live proxies, including {@code proxyName}
     * @param requestRates requests per second by proxy name; a proxy without a rate is left out of the mean
     */
    public Optional<SubsetPosition> update(
            String proxyName, Collection<String> proxyNames, Map<String, Double> requestRates) {
        double meanRate = requestRates.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(0);
        double rate = requestRates.getOrDefault(proxyName, 0.0);
        double weight = meanRate > 0 ? Math.min(MAX_WEIGHT, Math.max(1, rate / meanRate)) : 1;
        SubsetPosition next =
                new SubsetPosition(rank(proxyName, proxyNames), Math.max(1, proxyNames.size()), weight, true);
        if (current != null
                && Math.abs(next.weight() / current.weight() - 1) < MIN_WEIGHT_CHANGE
                && Math.abs(ringFraction(next) - ringFraction(current)) < MIN_RING_MOVE_FRACTION) {
            return Optional.empty();
        }
        current = next;
        return Optional.of(next);
    }

    /** Returns the number of proxies that precede this one in the order of the names' hashes, then of the names. */
    private static int rank(String proxyName, Collection<String> proxyNames) {
        int ownHash = NameHash.of(proxyName);
        int rank = 0;
        for (String name : proxyNames) {
            int otherHash = NameHash.of(name);
            if (otherHash < ownHash || (otherHash == ownHash && name.compareTo(proxyName) < 0)) {
                rank++;
            }
        }
        return rank;
    }

    private static double ringFraction(SubsetPosition position) {
        return (double) position.position() / position.proxyCount();
    }
}
