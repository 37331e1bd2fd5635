package rillyard.loadgen;

/**
 * A class of requests as clients send them.
 *
 * @param name first part of the path, and {@code X-Priority-Class}
 * @param share weight among the classes
 * @param semantics what clients may repeat
 * @param latencyObjectiveMillis an answer within it is in time
 * @param deadlineMillis how long a client waits in all, over all of its attempts
 * @param idempotencyWindowMillis how long after its first attempt a request with an idempotency key may be repeated
 * @param bodyBytes size of the body
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

    /** What clients may repeat after a failure; after a rejection they may repeat anything. */
    public enum Semantics {
        /** Anything, with GET. */
        IDEMPOTENT,
        /** Anything within the window: every host knows every key. */
        KEYED_EVERYWHERE,
        /** Nothing, as another host may not know the key; has one all the same. */
        KEYED,
        /** Nothing. */
        AT_MOST_ONCE;

        boolean hasIdempotencyKey() {
            return this == KEYED || this == KEYED_EVERYWHERE;
        }
    }
}
