package rillyard.connections;

/**
 * How long a proxy keeps idle connections to a host.
 *
 * <p>Each open connection reduces a host's capacity, and a host whose connection table is full rejects everybody. As
 * every proxy may hold idle connections to the same host, the timeouts shrink with the number of proxies: their sum at
 * a host stays about the same, up to the 15 proxies at which the minimum is reached. The cost is that requests that are
 * rarer than the minimum each need a new connection.
 *
 * @param firstTimeoutNanos nanoseconds for which the last idle connection to a host is kept
 * @param spareTimeoutNanos nanoseconds for which any further one is kept, which the last burst needed
 */
public record IdleTimeoutPolicy(long firstTimeoutNanos, long spareTimeoutNanos) {
    /** Timeouts of a single proxy (ns); divided by the number of proxies. */
    private static final long SINGLE_PROXY_FIRST_TIMEOUT = 30_000_000_000L;

    private static final long SINGLE_PROXY_SPARE_TIMEOUT = 4_500_000_000L;

    /** Minimum timeouts (ns); below the pauses between a busy proxy's requests every connection would be new. */
    private static final long MIN_FIRST_TIMEOUT = 2_000_000_000L;

    private static final long MIN_SPARE_TIMEOUT = 300_000_000L;

    /**
     * Returns the policy of one of several proxies.
     *
     * @param proxies the number of proxies; less than one counts as one
     * @param maxTimeoutNanos upper bound of both timeouts (ns), as hosts close idle connections themselves
     */
    public static IdleTimeoutPolicy of(int proxies, long maxTimeoutNanos) {
        int sharingProxies = Math.max(1, proxies);
        long first = Math.max(MIN_FIRST_TIMEOUT, SINGLE_PROXY_FIRST_TIMEOUT / sharingProxies);
        long spare = Math.max(MIN_SPARE_TIMEOUT, SINGLE_PROXY_SPARE_TIMEOUT / sharingProxies);
        return new IdleTimeoutPolicy(Math.min(first, maxTimeoutNanos), Math.min(spare, maxTimeoutNanos));
    }

    /** Returns whether the longest idle of {@code idleCount} connections, idle for {@code idleNanos}, is to be closed. */
    public boolean isExpired(int idleCount, long idleNanos) {
        return idleNanos > (idleCount > 1 ? spareTimeoutNanos : firstTimeoutNanos);
    }
}
