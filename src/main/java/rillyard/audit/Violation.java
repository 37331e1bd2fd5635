package rillyard.audit;

import java.util.List;

/**
 * A rule that was broken, with all that the ledgers know of it.
 *
 * @param rule which
 * @param at microseconds of Unix time
 * @param what what happened, on one line
 * @param history what led to it, line by line, in the order of the times
 */
public record Violation(Rule rule, long at, String what, List<String> history) {
    /** The rules, and the ways in which they break. */
    public enum Rule {
        /** Exactly one final answer, in time. */
        ANSWER,
        /** No effect twice; none refused that may have run. */
        EFFECT,
        /** A keyed request again only inside its cell and window. */
        KEYED,
        /** Nothing new to a host that drains or is gone. */
        DRAIN,
        /** No cold host pushed over. */
        COLD
    }

    /** Copies the history. */
    public Violation {
        history = List.copyOf(history);
    }
}
