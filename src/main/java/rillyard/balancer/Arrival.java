package rillyard.balancer;

/** A client's request; {@code tenant} may be null and {@code estimate} NaN where not told. */
public record Arrival(
    long id, String className, String tenant, double budget, double estimate, boolean repeat) {}
