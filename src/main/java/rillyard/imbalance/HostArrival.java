package rillyard.imbalance;

/**
 * A request that arrived at a host. Times are microseconds of one clock.
 *
 * @param at when it arrived
 * @param proxy the proxy that sent it
 * @param firstAttempt whether it is the first attempt of its request
 * @param queueTime time before it was executed; its whole stay if it never was
 * @param stay time from its arrival until the host was done with it
 */
public record HostArrival(long at, String host, String proxy, boolean firstAttempt, long queueTime, long stay) {}
