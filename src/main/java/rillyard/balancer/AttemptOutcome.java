package rillyard.balancer;

/** The outcome of an attempt. */
public enum AttemptOutcome {
    /** The host sent a successful response. */
    OK("OK", false),
    /** The host responded with an error; the request may or may not have been executed. */
    ERROR("ERROR", false),
    /** The host rejected the request as over its capacity, and didn't execute it. */
    REJECTED("FULL", true),
    /** No response arrived in time. */
    TIMEOUT("TIMEOUT", false),
    /** No connection to the host could be established. */
    CONNECT_FAILED("CONNECT_FAILED", true),
    /** The connection broke after the request may have reached the host. */
    RESET("RESET", false),
    /** The attempt was cancelled after the request may have reached the host. */
    CANCELLED("CANCELLED", false),
    /** The attempt was abandoned before any of it was sent. */
    NOT_SENT("MOOT", true),
    /**
     * The proxy's own machine had no socket, port, buffer or route for the attempt, which is no evidence about the
     * host. Trace lines report it as a failed connect.
     */
    LOCAL_FAILURE("CONNECT_FAILED", true);

    private final String traceWord;
    private final boolean provesNotExecuted;

    AttemptOutcome(String traceWord, boolean provesNotExecuted) {
        this.traceWord = traceWord;
        this.provesNotExecuted = provesNotExecuted;
    }

    /** Returns the word for this outcome in trace lines. Programs read these lines, so the word must not change. */
    public String traceWord() {
        return traceWord;
    }

    /** Returns whether this outcome proves that the attempt had no effect. */
    public boolean provesNotExecuted() {
        return provesNotExecuted;
    }
}
