package rillyard.balancer;

/**
 * Where a proxy's subset lies on the ring of hosts, and how large it is.
 *
 * @param position of this proxy among {@code proxyCount}, from 0
 * @param proxyCount proxies that cut their subsets from the ring, 1 or more
 * @param weight multiple of the usual size, 1 or more: a proxy with more of the traffic spreads it over more hosts
 * @param preferWarmingUp whether a host that is warming up wins ties while its allowance lasts: it then gets all that the
 *     proxies together may send it, otherwise a part of that by chance
 */
public record SubsetPosition(int position, int proxyCount, double weight, boolean preferWarmingUp) {
    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if one is out of its range
     */
    public SubsetPosition {
        if (proxyCount < 1 || position < 0 || position >= proxyCount || !(weight >= 1)) {
            throw new IllegalArgumentException(
                    "invalid subset position: " + position + " of " + proxyCount + ", weight " + weight);
        }
    }
}
