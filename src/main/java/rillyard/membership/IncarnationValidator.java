package rillyard.membership;

/** Rejects implausible incarnations, by which a faulty member could override all later updates of another. */
final class IncarnationValidator {
    /** Milliseconds by which a start may be ahead of this machine's Unix time; clocks of a fleet are closer. */
    static final long MAX_CLOCK_SKEW_MILLIS = 3_600_000;

    /** Largest plausible step of the counter of one process; no process refutes so often between two updates. */
    private static final int MAX_COUNTER_STEP = 1_024;

    private IncarnationValidator() {}

    /**
     * Returns whether an incarnation is plausible.
     *
     * @param known the last known incarnation of that member, or null
     * @param unixNow this machine's Unix time (ms)
     */
    static boolean isPlausible(Incarnation incarnation, Incarnation known, long unixNow) {
        if (known != null && known.startedAtMillis() == incarnation.startedAtMillis()) {
            return incarnation.counter() <= known.counter() + MAX_COUNTER_STEP;
        }
        return incarnation.startedAtMillis() <= unixNow + MAX_CLOCK_SKEW_MILLIS
                && incarnation.counter() <= MAX_COUNTER_STEP;
    }
}
