package rillyard.connections;

/**
 * Determines how long a proxy keeps idle connections to a host.
 *
 * <p>Each open connection reduces a host's capacity, and a host whose connection table is full rejects all clients. As
 * every proxy may hold idle connections to the same host, the timeouts shrink with the number of proxies: the sum of
 * idle connections at a host stays about the same, up to the 15 proxies at which the minimum is reached. The cost is
 * that requests at intervals longer than the minimum each need a new connection.
 *
 * @param firstTimeoutNanos timeout (ns) of the last idle connection to a host
 * @param spareTimeoutNanos timeout (ns) of each further idle connection, left over from the last burst of requests
 */
public record IdleTimeoutPolicy(long firstTimeoutNanos, long spareTimeoutNanos) {
    /** Timeouts of a single proxy, to be divided by the number of proxies. */
    private static final long SINGLE_PROXY_FIRST_TIMEOUT_NANOS = 30_000_000_000L;

    private static final long SINGLE_PROXY_SPARE_TIMEOUT_NANOS = 4_500_000_000L;

    /** Minimum timeouts; below the pauses between a busy proxy's requests, each would need a new connection. */
    private static final long MIN_FIRST_TIMEOUT_NANOS = 2_000_000_000L;

    private static final long MIN_SPARE_TIMEOUT_NANOS = 300_000_000L;

    /**
     * Returns the policy of one of several proxies.
     *
     * @param proxies the number of proxies; less than 1 counts as 1
     * @param maxTimeoutNanos upper bound of both timeouts (ns), as hosts close idle connections themselves
     */
    public static IdleTimeoutPolicy of(int proxies, long maxTimeoutNanos) {
        int sharingProxies = Math.max(1, proxies);
        long firstNanos = Math.max(MIN_FIRST_TIMEOUT_NANOS, SINGLE_PROXY_FIRST_TIMEOUT_NANOS / sharingProxies);
        long spareNanos = Math.max(MIN_SPARE_TIMEOUT_NANOS, SINGLE_PROXY_SPARE_TIMEOUT_NANOS / sharingProxies);
        return new IdleTimeoutPolicy(Math.min(firstNanos, maxTimeoutNanos), Math.min(spareNanos, maxTimeoutNanos));
    }

    /** Returns whether to close the longest idle of {@code idleCount} connections, idle for {@code idleNanos}. */
    public boolean isExpired(int idleCount, long idleNanos) {
        return idleNanos > (idleCount > 1 ? spareTimeoutNanos : firstTimeoutNanos);
    }
}
