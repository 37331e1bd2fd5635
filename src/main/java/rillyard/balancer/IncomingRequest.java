package rillyard.balancer;

/**
 * A client's request; {@code tenant} may be null and {@code estimate} (ms) NaN where not told.
 * {@code budget} is what is left of its time (ms), infinite while its last byte has not come: see
 * {@link Balancer#onRequestComplete}.
 */
public record IncomingRequest(
        long id, String requestClass, String tenant, double remainingTime, double estimatedCost, boolean retry) {}
