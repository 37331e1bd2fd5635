package rillyard.balancer;

/**
 * The position of a proxy's subset on the ring of hosts, and its relative size.
 *
 * @param position index of this proxy among {@code proxyCount}, from 0
 * @param proxyCount number of proxies that take their subsets from the ring, 1 or more
 * @param weight multiple of the usual subset size, 1 or more: a proxy with a larger share of the traffic spreads it
 *     over more hosts
 * @param preferWarmingUp whether a host that is warming up wins ties while its allowance lasts. It then gets all the
 *     requests that the proxies together may send it, otherwise a random part of them
 */
public record SubsetPosition(int position, int proxyCount, double weight, boolean preferWarmingUp) {
    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if a value is out of its range
     */
    public SubsetPosition {
        if (proxyCount < 1 || position < 0 || position >= proxyCount || !(weight >= 1)) {
            throw new IllegalArgumentException(
                    "invalid subset position: " + position + " of " + proxyCount + ", weight " + weight);
        }
    }
}
