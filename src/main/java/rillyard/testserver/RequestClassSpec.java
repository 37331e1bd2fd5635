package rillyard.testserver;

import java.util.Locale;

/**
 * A request class as hosts serve it and as the proxy is configured for it.
 *
 * @param name first segment of the path
 * @param semantics whether requests may run twice
 * @param scope hosts that share idempotency keys
 * @param latencyObjectiveMillis response time in milliseconds up to which a response has its full weight
 * @param deadlineMillis total time in milliseconds that a client waits
 * @param idempotencyWindowMillis time in milliseconds from receipt during which a key is remembered
 * @param priorityWeight weight of one response beside those of other classes
 * @param serviceTime distribution of the service time
 * @param responseBytes size of the response body in bytes
 */
public record RequestClassSpec(
        String name,
        Semantics semantics,
        Scope scope,
        double latencyObjectiveMillis,
        double deadlineMillis,
        double idempotencyWindowMillis,
        double priorityWeight,
        ServiceTime serviceTime,
        int responseBytes) {

    /** Whether requests of a class may run twice. */
    public enum Semantics {
        /** Any request may run twice. */
        IDEMPOTENT,

        /** Hosts recognise repeats by their idempotency key. */
        DEDUPLICATED,

        /** No request may run twice. */
        AT_MOST_ONCE;

        /** Returns the name in the platform's settings. */
        String setting() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** The hosts that share idempotency keys. */
    public enum Scope {
        /** All hosts. */
        ALL,

        /** The hosts of a zone. */
        ZONE,

        /** The hosts of a cell. */
        CELL;

        /** Returns the name in the platform's settings. */
        String setting() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
