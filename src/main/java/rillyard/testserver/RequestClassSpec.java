package rillyard.testserver;

import java.util.Locale;

/**
 * A class of requests, as the proxy is told of it and as hosts serve it.
 *
 * @param name first part of the path
 * @param semantics whether it may be repeated
 * @param scope hosts that know each other's keys
 * @param latencyObjectiveMillis an answer within it is worth all
 * @param deadlineMillis how long clients wait in all
 * @param idempotencyWindowMillis how long keys are remembered, from the receipt of the request
 * @param priorityWeight worth of one answer
 * @param serviceTime its work
 * @param responseBytes size of an answer
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

    /** What may be repeated. */
    public enum Semantics {
        IDEMPOTENT,
        DEDUPLICATED,
        AT_MOST_ONCE;

        /** The name in the platform's settings. */
        String setting() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** The hosts that share the memory of keys. */
    public enum Scope {
        ALL,
        ZONE,
        CELL;

        /** The name in the platform's settings. */
        String setting() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
