package rillyard.balancer;

/**
 * A request of a client.
 *
 * @param tenant name of the tenant, may be null
 * @param remainingMillis time (ms) until the client's deadline, infinite until the request's last byte has been
 *     received: see {@link Balancer#onRequestComplete}
 */
public record IncomingRequest(long id, String requestClass, String tenant, double remainingMillis) {}
