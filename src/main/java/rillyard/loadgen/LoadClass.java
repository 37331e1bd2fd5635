package rillyard.loadgen;

/**
 * A request class as clients send it.
 *
 * @param name first segment of the path, and value of {@code X-Priority-Class}
 * @param share weight among the classes
 * @param semantics which failed requests clients may retry
 * @param latencyObjectiveMillis response time in milliseconds up to which a response is in time
 * @param deadlineMillis total time in milliseconds that a client waits, over all attempts
 * @param idempotencyWindowMillis time in milliseconds after the first attempt during which a request with an
 *     idempotency key may be retried
 * @param bodyBytes size of the request body in bytes
 * @param keys number of distinct route keys; 0 for none
 */
public record LoadClass(
        String name,
        double share,
        Semantics semantics,
        double latencyObjectiveMillis,
        double deadlineMillis,
        double idempotencyWindowMillis,
        int bodyBytes,
        int keys) {

    /** Which requests clients may retry after a failure. After a rejection any request may be retried. */
    public enum Semantics {
        /** Every request may be retried; sent with GET. */
        IDEMPOTENT,
        /** Requests may be retried within the idempotency window, as every host knows every key. */
        KEYED_EVERYWHERE,
        /** Requests carry an idempotency key but are not retried, as another host may not know the key. */
        KEYED,
        /** No request may be retried. */
        AT_MOST_ONCE;

        /** Returns whether requests carry an idempotency key. */
        boolean hasIdempotencyKey() {
            return this == KEYED || this == KEYED_EVERYWHERE;
        }
    }
}
