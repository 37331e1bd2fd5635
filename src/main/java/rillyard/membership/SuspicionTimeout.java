package rillyard.membership;

/**
 * The time that a suspect has to refute (Lifeguard, 3.2): long while one member alone suspects it, who may itself be
 * unhealthy, and shorter with each independent confirmation.
 */
final class SuspicionTimeout {
    /** Confirmations that reduce the time to its minimum. */
    private static final int MAX_CONFIRMATIONS = 3;

    private SuspicionTimeout() {}

    /**
     * Returns the time from the first suspicion to death.
     *
     * @param members members that are present
     * @param suspectors members that suspect it independently
     */
    static double millis(MembershipSettings settings, int members, int suspectors) {
        double min = settings.minSuspicionMillis(members);
        double max = min * settings.maxSuspicionMultiplier();
        int confirmations = Math.max(1, Math.min(MAX_CONFIRMATIONS, members - 2));
        double share = Math.log(Math.max(1, suspectors)) / Math.log(confirmations + 1.0);
        return Math.max(min, max - (max - min) * share);
    }
}
