package rillyard.balancer;

/**
 * A client's request.
 *
 * @param tenant name of the tenant, may be null
 * @param remainingMillis time (ms) until the client's deadline, infinite while its last byte has not been received: see {@link
 *     Balancer#onRequestComplete}
 */
public record IncomingRequest(long id, String requestClass, String tenant, double remainingMillis) {}
