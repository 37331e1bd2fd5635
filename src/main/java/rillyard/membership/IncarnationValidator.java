package rillyard.membership;

/** Rejects implausible incarnations, with which a faulty member could override all later updates of another. */
final class IncarnationValidator {
    /** Maximum time by which a start may be ahead of this machine's Unix time; clocks of a fleet differ by less. */
    static final long MAX_CLOCK_SKEW_MILLIS = 3_600_000;

    /** Largest plausible increase of a process's counter; no process refutes so often between two updates. */
    private static final int MAX_COUNTER_STEP = 1_024;

    private IncarnationValidator() {}

    /**
     * Returns whether an incarnation is plausible.
     *
     * @param known the last known incarnation of that member, or null if there is none
     * @param unixNowMillis this machine's Unix time
     */
    static boolean isPlausible(Incarnation incarnation, Incarnation known, long unixNowMillis) {
        if (known != null && known.startedAtMillis() == incarnation.startedAtMillis()) {
            return incarnation.counter() <= known.counter() + MAX_COUNTER_STEP;
        }
        return incarnation.startedAtMillis() <= unixNowMillis + MAX_CLOCK_SKEW_MILLIS
                && incarnation.counter() <= MAX_COUNTER_STEP;
    }
}
