package rillyard.connections;

/**
 * How long a proxy keeps connections to a host that carry nothing. Guards against many proxies that are
 * each thrifty and together fill the hosts' tables: a fuller table takes of a host's capacity, and a
 * full one turns everybody away. Each of {@code proxies} may hold some at the same host, so the times
 * shrink as their number grows, without any message: the sum at a host stays about the same, up to the 15
 * proxies at which the least times are reached. It should serve for any host with a bounded table. Harm:
 * where requests are rarer than the least time, each pays for a new connection.
 *
 * @param firstTimeoutNanos nanoseconds for which a host's last idle connection is kept
 * @param spareTimeoutNanos nanoseconds for which any further one is kept: what the last burst needed
 */
public record IdleTimeoutPolicy(long firstTimeoutNanos, long spareTimeoutNanos) {
    /** Nanoseconds for a proxy that is alone; shared by all that may connect to a host. */
    private static final long FIRST_TIMEOUT_SINGLE_PROXY = 30_000_000_000L;

    private static final long SPARE_TIMEOUT_SINGLE_PROXY = 4_500_000_000L;

    /** The least (ns): shorter than the pause between requests of a busy proxy each would be new. */
    private static final long MIN_FIRST_TIMEOUT = 2_000_000_000L;

    private static final long MIN_SPARE_TIMEOUT = 300_000_000L;

    /**
     * For so many proxies, and hosts that close idle connections after {@code closedAfter} ns; fewer than one
     * proxy are taken for one.
     */
    public static IdleTimeoutPolicy of(int proxies, long closedAfter) {
        int sharers = Math.max(1, proxies);
        long first = Math.max(MIN_FIRST_TIMEOUT, FIRST_TIMEOUT_SINGLE_PROXY / sharers);
        long spare = Math.max(MIN_SPARE_TIMEOUT, SPARE_TIMEOUT_SINGLE_PROXY / sharers);
        return new IdleTimeoutPolicy(Math.min(first, closedAfter), Math.min(spare, closedAfter));
    }

    /** Whether the oldest of {@code idle} connections to a host has stood idle for too long (ns). */
    public boolean isExpired(int idle, long idleFor) {
        return idleFor > (idle > 1 ? spareTimeoutNanos : firstTimeoutNanos);
    }
}
