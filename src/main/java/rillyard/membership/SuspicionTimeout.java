package rillyard.membership;

/**
 * How long a suspect has to speak up (Lifeguard, 3.2): long while one member alone says so, who may be the
 * one that is ill; the shorter, the more say so independently.
 */
final class SuspicionTimeout {
    /** So many words besides the first bring it down to the least. */
    private static final int ENOUGH = 3;

    private SuspicionTimeout() {}

    /** The time (ms) from the first word to death, with so many independent ones in a fleet of {@code members}. */
    static double time(MembershipSettings settings, int members, int accusers) {
        double least = settings.leastSuspicion(members);
        double most = least * settings.maxSuspicionMultiplier();
        int enough = Math.max(1, Math.min(ENOUGH, members - 2));
        double part = Math.log(Math.max(1, accusers)) / Math.log(enough + 1.0);
        return Math.max(least, most - (most - least) * part);
    }
}
