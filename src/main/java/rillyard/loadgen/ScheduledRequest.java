package rillyard.loadgen;

/**
 * One request that is to be sent.
 *
 * @param atNanos nanoseconds from the start
 * @param requestClass its class
 * @param tenant name of its tenant, or null
 * @param client number of its client, from 0
 * @param routeKey what it is about, or null
 */
public record ScheduledRequest(long atNanos, LoadClass requestClass, String tenant, int client, String routeKey) {}
