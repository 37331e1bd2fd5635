package rillyard.requestlog;

/** What became of a request that a host received. */
public enum ExecutionResult {
    /** It ran and was answered. */
    DONE(true, true),
    /** It was answered with an error, before it ran. */
    ERROR(true, false),
    /** It ran; the answer was cut off by a reset. */
    RESET(true, true),
    /** It ran; the answer was spoilt. */
    GARBLED(true, true),
    /** It was running when its client left, and ran on. */
    LEFT(true, true),
    /** It ran and was never answered. */
    HUNG(true, true),
    /** The host was killed while it ran. */
    KILLED(true, false),
    /** Its key was known: the answer came from memory, with no second effect. */
    REMEMBERED(false, false),
    /** It was turned away unseen. */
    TURNED_AWAY(false, false),
    /** It waited in the queue when its client left or the host was killed. */
    DROPPED(false, false);

    private final boolean mayHaveRun;
    private final boolean effect;

    ExecutionResult(boolean mayHaveRun, boolean effect) {
        this.mayHaveRun = mayHaveRun;
        this.effect = effect;
    }

    /** Whether the one who sent the request must take it to have had its effect. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Whether it really had. */
    public boolean effect() {
        return effect;
    }
}
