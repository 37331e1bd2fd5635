package rillyard.balancer;

/**
 * Where a proxy's pool lies on the ring of hosts, and how large it is.
 *
 * @param position of this proxy among {@code of}, from 0
 * @param proxyCount proxies that lay their pools over the ring, 1 and more
 * @param weight times the usual size, 1 and more: a proxy with more of the traffic spreads it over more hosts
 * @param preferWarmingUp whether a cold host that may get a request, by what is lent to it, wins ties: it then gets what all
 *     proxies together lend it, where else it gets what is left of that by chance
 */
public record SubsetPosition(int position, int proxyCount, double weight, boolean preferWarmingUp) {
    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if one is out of its range
     */
    public SubsetPosition {
        if (proxyCount < 1 || position < 0 || position >= proxyCount || !(weight >= 1)) {
            throw new IllegalArgumentException("no place: " + position + " of " + proxyCount + ", weight " + weight);
        }
    }
}
