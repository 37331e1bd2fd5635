package rillyard.loadgen;

import rillyard.requestlog.ClientOutcome;

/** Sends attempts to the target. Confined to the generator's thread. */
interface Transport {
    /**
     * One attempt to be sent.
     *
     * @param timeoutMillis value of {@code X-Timeout-Ms}
     * @param retried whether an earlier attempt failed or was rejected
     * @param newConnection whether the attempt must use a new connection
     */
    record OutgoingRequest(
            String id,
            String idempotencyKey,
            LoadClass requestClass,
            String tenant,
            String routeKey,
            int client,
            long timeoutMillis,
            boolean retried,
            boolean newConnection) {}

    /**
     * Result of an attempt.
     *
     * @param status HTTP status, or 0 without a response
     * @param retryAfterMicros value of {@code Retry-After} in microseconds, or 0 if absent
     */
    record AttemptResult(ClientOutcome outcome, int status, long retryAfterMicros) {}

    /** Receives the result of an attempt. */
    interface Listener {
        /** Called once when the attempt ends, unless it was abandoned; never from within {@link #send}. */
        void onEnded(AttemptResult result);
    }

    /** An attempt in flight. */
    interface PendingAttempt {
        /** Abandons the attempt: closes its connection, and the listener is not called any more. */
        void abandon();
    }

    /** Sends an attempt and returns a handle to abandon it with. */
    PendingAttempt send(OutgoingRequest request, Listener listener);
}
