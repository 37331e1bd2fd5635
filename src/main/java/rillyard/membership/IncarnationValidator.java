package rillyard.membership;

/** Which words are possible at all: guards against members that make up lives, to have the last word for ever. */
final class IncarnationValidator {
    /** A start this far (ms) ahead of this machine's Unix time is none: clocks of a fleet are nearer than that. */
    static final long CLOCKS_APART = 3_600_000;

    /** A word so much newer than the last known of the same process was made up: nobody speaks up so often. */
    private static final int LEAP = 1_024;

    private IncarnationValidator() {}

    /**
     * Whether a life can be, beside what is known.
     *
     * @param known the last word of that member, or null
     * @param unixNow this machine's Unix time (ms)
     */
    static boolean possible(Incarnation life, Incarnation known, long unixNow) {
        if (known != null && known.startedAtMillis() == life.startedAtMillis()) {
            return life.counter() <= known.counter() + LEAP;
        }
        return life.startedAtMillis() <= unixNow + CLOCKS_APART && life.counter() <= LEAP;
    }
}
