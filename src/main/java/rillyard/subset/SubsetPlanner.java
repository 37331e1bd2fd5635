package rillyard.subset;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import rillyard.balancer.SubsetPosition;

/**
 * Computes this proxy's host subset from the fleet's membership and request rates.
 *
 * <p>A subset's size is proportional to the proxy's request rate relative to the mean, so that a busy proxy does not
 * concentrate its traffic on a few hosts. Proxies are ordered by a hash of their names, which keeps instances with
 * consecutive names apart. Not thread-safe.
 */
public final class SubsetPlanner {
    /** The greatest weight: with a larger one, nearly all hosts would be in the subset in any fleet this is meant for. */
    private static final double MAX_WEIGHT = 16;

    /** Relative change in weight below which the subset is kept, as new connections would cost more than they gain. */
    private static final double MIN_WEIGHT_CHANGE = 0.25;

    /** Part of the ring below which the subset is not moved. */
    private static final double MIN_MOVE = 1 / 64.0;

    private SubsetPosition current;

    /**
     * Returns the new subset position, or empty if the current one is kept.
     *
     * @param proxyNames names of all proxies present, {@code proxyName} among them
     * @param requestRates requests per second by proxy name; a proxy without a rate is left out of the mean
     */
    public Optional<SubsetPosition> update(
            String proxyName, Collection<String> proxyNames, Map<String, Double> requestRates) {
        double mean = requestRates.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(0);
        double rate = requestRates.getOrDefault(proxyName, 0.0);
        double weight = mean > 0 ? Math.min(MAX_WEIGHT, Math.max(1, rate / mean)) : 1;
        SubsetPosition next =
                new SubsetPosition(rank(proxyName, proxyNames), Math.max(1, proxyNames.size()), weight, true);
        if (current != null
                && Math.abs(next.weight() / current.weight() - 1) < MIN_WEIGHT_CHANGE
                && Math.abs(ringFraction(next) - ringFraction(current)) < MIN_MOVE) {
            return Optional.empty();
        }
        current = next;
        return Optional.of(next);
    }

    /** Returns the number of proxies that come before this one by the hash of the name, then by the name. */
    private static int rank(String proxyName, Collection<String> proxyNames) {
        int own = NameHash.of(proxyName);
        int rank = 0;
        for (String name : proxyNames) {
            int other = NameHash.of(name);
            if (other < own || (other == own && name.compareTo(proxyName) < 0)) {
                rank++;
            }
        }
        return rank;
    }

    private static double ringFraction(SubsetPosition position) {
        return (double) position.position() / position.proxyCount();
    }
}
