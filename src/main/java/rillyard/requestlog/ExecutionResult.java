package rillyard.requestlog;

/** The result of a request that a host received; the names are stored in the log. */
public enum ExecutionResult {
    /** The request was executed, and the response was sent. */
    DONE(true, true),
    /** The request was answered with an error before it was executed. */
    ERROR(true, false),
    /** The request was executed; the response was cut off by a reset. */
    RESET(true, true),
    /** The request was executed; the response was corrupted. */
    GARBLED(true, true),
    /** The sender disconnected during the execution, which was completed. */
    LEFT(true, true),
    /** The request was executed, and no response was sent. */
    HUNG(true, true),
    /** The host was killed during the execution. */
    KILLED(true, false),
    /** The idempotency key was known: the stored response was returned, without a second effect. */
    REMEMBERED(false, false),
    /** The request was rejected without being processed. */
    TURNED_AWAY(false, false),
    /** The request was still queued when its sender disconnected or the host was killed. */
    DROPPED(false, false);

    private final boolean mayHaveRun;
    private final boolean hadEffect;

    ExecutionResult(boolean mayHaveRun, boolean hadEffect) {
        this.mayHaveRun = mayHaveRun;
        this.hadEffect = hadEffect;
    }

    /** Returns whether the sender must assume that the request had its effect. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether the request had its effect. */
    public boolean hadEffect() {
        return hadEffect;
    }
}
