package rillyard.subset;

/**
 * The number of hosts in each instance's subset, limited so that no host exceeds its connection limit.
 *
 * @param hosts hosts in the subset of an instance
 * @param maxInstances maximum number of instances that use one host
 * @param maxConnections maximum number of connections to one host
 */
public record SubsetSize(int hosts, int maxInstances, long maxConnections) {
    /** Minimum number of hosts in a subset, as the choice of a host needs two candidates. */
    public static final int MIN_HOSTS = 2;

    /** Thrown if even the smallest subsets exceed the hosts' connection limit. */
    public static final class TooManyConnectionsException extends Exception {
        private static final long serialVersionUID = 1;

        TooManyConnectionsException(String message) {
            super(message);
        }
    }

    /**
     * Returns the largest size that respects the hosts' connection limit.
     *
     * @param instances number of instances, 1 or more
     * @param hosts number of hosts, 2 or more
     * @param connectionLimit connections that a host accepts
     * @param connectionsPerHost maximum number of connections of an instance to a host of its subset
     * @param reserve fraction of the limit, from 0 to below 1, that is left free: for instances that run twice during a
     *     rolling restart, and for subsets that grow
     * @throws IllegalArgumentException if a parameter is out of its range
     * @throws TooManyConnectionsException if subsets of {@link #MIN_HOSTS} hosts are too large; the message states a
     *     sufficient limit
     */
    public static SubsetSize largest(
            SubsettingStrategy strategy,
            int instances,
            int hosts,
            int connectionLimit,
            int connectionsPerHost,
            double reserve)
            throws TooManyConnectionsException {
        if (instances < 1
                || hosts < MIN_HOSTS
                || connectionLimit < 1
                || connectionsPerHost < 1
                || !(reserve >= 0 && reserve < 1)) {
            throw new IllegalArgumentException("expected instances, cap and connections per host >= 1, hosts >= "
                    + MIN_HOSTS + " and 0 <= reserve < 1");
        }
        long usable = (long) Math.floor(connectionLimit * (1 - reserve) + 1e-9);
        int size = (int) Math.min(hosts, usable * hosts / ((long) instances * connectionsPerHost));
        for (; size >= MIN_HOSTS; size--) {
            int maxInstances = SubsetStatistics.maxInstances(strategy, instances, hosts, size);
            if ((long) maxInstances * connectionsPerHost <= usable) {
                return new SubsetSize(size, maxInstances, (long) maxInstances * connectionsPerHost);
            }
        }
        long needed = (long) SubsetStatistics.maxInstances(strategy, instances, hosts, MIN_HOSTS) * connectionsPerHost;
        throw new TooManyConnectionsException(instances + " instances with " + MIN_HOSTS + " hosts each put up to "
                + needed
                + " connections on a host, and "
                + usable + " of " + connectionLimit + " may be used: expected a cap of "
                + (long) Math.ceil(needed / (1 - reserve)) + " or more, or more hosts, or fewer connections each");
    }
}
