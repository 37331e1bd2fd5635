package rillyard.requestlog;

/** The result of a request that a host received; the names are stored in the log. */
public enum ExecutionResult {
    /** It was executed, and the response was sent. */
    DONE(true, true),
    /** It was answered with an error before it was executed. */
    ERROR(true, false),
    /** It was executed; the response was cut off by a reset. */
    RESET(true, true),
    /** It was executed; the response was corrupted. */
    GARBLED(true, true),
    /** Its client left while it was being executed, and the execution was completed. */
    LEFT(true, true),
    /** It was executed, and no response was sent. */
    HUNG(true, true),
    /** The host was killed during the execution. */
    KILLED(true, false),
    /** Its idempotency key was known: the stored response was returned, with no second effect. */
    REMEMBERED(false, false),
    /** It was rejected without being processed. */
    TURNED_AWAY(false, false),
    /** It was still queued when its client left or the host was killed. */
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
