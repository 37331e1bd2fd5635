package rillyard.imbalance;

/**
 * A request that came to a host. Times are microseconds of any one clock.
 *
 * @param proxy by whom
 * @param first whether it had been nowhere before
 * @param waited before it ran; all of its stay where it never ran
 * @param lasted from its coming until the host was done with it
 */
public record HostArrival(long at, String host, String proxy, boolean first, long waited, long lasted) {}
