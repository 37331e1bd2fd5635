package rillyard.loadgen;

import rillyard.requestlog.ClientOutcome;

/** Carries attempts to the target. All calls are made on the generator's thread. */
interface Transport {
    /**
     * One attempt as it goes out.
     *
     * @param timeoutMillis what {@code X-Timeout-Ms} says
     * @param retried whether it repeats one that has failed or was rejected
     * @param newConnection whether it needs a connection of its own
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

    /** How it ended; {@code retryAfter} in microseconds, 0 without one. */
    record AttemptResult(ClientOutcome outcome, int status, long retryAfterMicros) {}

    /** Hears of the end, once, and never from within {@link #send}. */
    interface Listener {
        void onEnded(AttemptResult end);
    }

    /** An attempt that is under way. */
    interface PendingAttempt {
        /** Gives it up: its connection is closed, and nothing is heard of it any more. */
        void abandon();
    }

    PendingAttempt send(OutgoingRequest request, Listener listener);
}
