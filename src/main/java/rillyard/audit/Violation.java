package rillyard.audit;

import java.util.List;

/**
 * A violation of a rule, with the evidence of the request logs.
 *
 * @param rule the violated rule
 * @param atMicros Unix time in microseconds of the violation
 * @param description what happened, on one line
 * @param history the events that led to it, one line each, in the order of their times
 */
public record Violation(Rule rule, long atMicros, String description, List<String> history) {
    /** The rules; their names are printed in reports. */
    public enum Rule {
        /** Each request has exactly one final response, in time. */
        ANSWER,
        /** No request takes effect twice, and none is rejected that may have been executed. */
        EFFECT,
        /** A request with an idempotency key is repeated only within the key's scope and window. */
        KEYED,
        /** No request is sent to a draining or removed host. */
        DRAIN,
        /** No warming-up host is overloaded. */
        COLD
    }

    /** Copies the history, so that a violation never changes. */
    public Violation {
        history = List.copyOf(history);
    }
}
