package rillyard.audit;

import java.util.List;

/**
 * A rule that was broken, with all that the request logs know of it.
 *
 * @param rule which
 * @param at microseconds of Unix time
 * @param description what happened, on one line
 * @param history what led to it, line by line, in the order of the times
 */
public record Violation(Rule rule, long at, String description, List<String> history) {
    /** The rules, and the ways in which they break. */
    public enum Rule {
        /** Exactly one final answer, in time. */
        ANSWER,
        /** No effect twice; none rejected that may have run. */
        EFFECT,
        /** A request with an idempotency key again only inside its cell and window. */
        KEYED,
        /** Nothing new to a host that drains or is gone. */
        DRAIN,
        /** No warming-up host pushed over. */
        COLD
    }

    /** Copies the history. */
    public Violation {
        history = List.copyOf(history);
    }
}
