package rillyard.balancer;

/**
 * A client's request.
 *
 * @param tenant name of the tenant, may be null
 * @param remainingTime time (ms) until the client's deadline, infinite while its last byte has not been received: see {@link
 *     Balancer#onRequestComplete}
 * @param estimatedCost expected service time (ms), NaN if not stated
 * @param retry whether the client says that it is a retry
 */
public record IncomingRequest(
        long id, String requestClass, String tenant, double remainingTime, double estimatedCost, boolean retry) {}
