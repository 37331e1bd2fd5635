package rillyard.loadgen;

/**
 * One request to be sent.
 *
 * @param atNanos scheduled send time in nanoseconds from the start of the run
 * @param requestClass the request's class
 * @param tenant name of the tenant, or null
 * @param client number of the client, from 0
 * @param routeKey route key, or null
 */
public record ScheduledRequest(long atNanos, LoadClass requestClass, String tenant, int client, String routeKey) {}
