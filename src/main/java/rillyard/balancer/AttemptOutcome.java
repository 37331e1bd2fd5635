package rillyard.balancer;

/** How an attempt ended. */
public enum AttemptOutcome {
    OK(false),
    ERROR(false),
    FULL(true),
    TIMEOUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    MOOT(true);

    private final boolean provesNotExecuted;

    AttemptOutcome(boolean neverRan) {
        this.provesNotExecuted = neverRan;
    }

    /** Whether this result proves that the attempt had no effect. */
    public boolean provesNotExecuted() {
        return provesNotExecuted;
    }
}
