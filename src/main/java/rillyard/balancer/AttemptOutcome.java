package rillyard.balancer;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** The host answered. */
    OK("OK", false),
    /** The host answered with an error, which tells nothing of the effect. */
    ERROR("ERROR", false),
    /** The host rejected the request as over its capacity, unexecuted. */
    REJECTED("FULL", true),
    /** No answer came in time. */
    TIMEOUT("TIMEOUT", false),
    /** No connection to the host came up. */
    CONNECT_FAILED("CONNECT_FAILED", true),
    /** The connection broke after the request may have reached the host. */
    RESET("RESET", false),
    /** The attempt was cancelled after the request may have reached the host. */
    CANCELLED("CANCELLED", false),
    /** The attempt was given up before anything of it was sent. */
    NOT_SENT("MOOT", true),
    /**
     * The proxy's own machine had no socket, port, buffer or route for the attempt, which tells nothing of the host. In traces
     * it stays a failed connect.
     */
    LOCAL_FAILURE("CONNECT_FAILED", true);

    private final String traceWord;
    private final boolean provesNotExecuted;

    AttemptOutcome(String traceWord, boolean provesNotExecuted) {
        this.traceWord = traceWord;
        this.provesNotExecuted = provesNotExecuted;
    }

    /** Returns the word for this outcome in trace lines, which programs read: it never changes. */
    public String traceWord() {
        return traceWord;
    }

    /** Whether this outcome proves that the attempt had no effect. */
    public boolean provesNotExecuted() {
        return provesNotExecuted;
    }
}
