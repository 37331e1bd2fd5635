package rillyard.requestlog;

/** What became of a request that a host received. */
public enum ExecutionResult {
    /** It ran and was answered. */
    DONE(true, true),
    /** It was answered with an error, before it ran. */
    ERROR(true, false),
    /** It ran; the answer was cut off by a reset. */
    RESET(true, true),
    /** It ran; the response was corrupted. */
    GARBLED(true, true),
    /** It was running when its client left, and ran on. */
    LEFT(true, true),
    /** It ran and was never answered. */
    HUNG(true, true),
    /** The host was killed while it ran. */
    KILLED(true, false),
    /** Its idempotency key was known: the stored response was returned, with no second effect. */
    REMEMBERED(false, false),
    /** It was rejected without being processed. */
    TURNED_AWAY(false, false),
    /** It waited in the queue when its client left or the host was killed. */
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
