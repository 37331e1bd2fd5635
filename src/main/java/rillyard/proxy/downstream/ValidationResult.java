package rillyard.proxy.downstream;

/** Outcome of {@link RequestValidator#validate}. */
sealed interface ValidationResult {
    /**
     * A request that may be dispatched once its body is complete.
     *
     * @param requestClass name of a configured request class
     * @param timeoutMillis time that the client waits for the response
     */
    record Accepted(String requestClass, double timeoutMillis) implements ValidationResult {}

    /** A readiness check, which the proxy answers itself. */
    record HealthCheck() implements ValidationResult {}

    /**
     * A request that is answered with an error status, after which its connection is closed.
     *
     * @param status HTTP status code, 4xx or 5xx
     */
    record Rejected(int status) implements ValidationResult {}
}
