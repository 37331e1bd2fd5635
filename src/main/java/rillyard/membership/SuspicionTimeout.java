package rillyard.membership;

/**
 * Calculates the time that a suspect has to refute the suspicion (Lifeguard, 3.2): long while only one member suspects
 * it, which may itself be unhealthy, and shorter with each independent confirmation.
 */
final class SuspicionTimeout {
    /** Number of confirmations that reduce the time to its minimum. */
    private static final int MAX_CONFIRMATIONS = 3;

    private SuspicionTimeout() {}

    /**
     * Returns the time from the first suspicion until the member is declared dead.
     *
     * @param members number of present members
     * @param suspectors number of members that suspect it independently
     */
    static double millis(MembershipSettings settings, int members, int suspectors) {
        double minMillis = settings.minSuspicionMillis(members);
        double maxMillis = minMillis * settings.maxSuspicionMultiplier();
        int confirmations = Math.max(1, Math.min(MAX_CONFIRMATIONS, members - 2));
        double share = Math.log(Math.max(1, suspectors)) / Math.log(confirmations + 1.0);
        return Math.max(minMillis, maxMillis - (maxMillis - minMillis) * share);
    }
}
