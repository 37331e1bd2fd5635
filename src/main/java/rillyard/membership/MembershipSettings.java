package rillyard.membership;

/**
 * Parameters of the membership protocol, the same for all members. Times are milliseconds.
 *
 * @param probeIntervalMillis length of a protocol period of a healthy member, 100 to 60,000
 * @param probeTimeoutMillis time for the ack of a ping before indirect probes are sent, 10 to half of the
 *     interval
 * @param indirectProbes number of helpers for an indirect probe, 1 to 10
 * @param suspicionMultiplier minimum time from suspect to dead, as a multiple of the period times the decimal logarithm
 *     of the number of members, 1 to 20
 * @param maxSuspicionMultiplier maximum of that time, as a multiple of the minimum, 1 to 20
 * @param retransmitMultiplier transmissions of an update for each doubling of the number of members, 1 to 10
 * @param forgetAfterMillis time for which a member that is dead or has left is kept, 10,000 to 3,600,000
 * @param maxMembers maximum number of known members, 2 to 100,000
 * @param datagramBytes maximum size of a datagram, 128 to {@link MessageCodec#MAX_BYTES}
 */
public record MembershipSettings(
        double probeIntervalMillis,
        double probeTimeoutMillis,
        int indirectProbes,
        double suspicionMultiplier,
        double maxSuspicionMultiplier,
        int retransmitMultiplier,
        double forgetAfterMillis,
        int maxMembers,
        int datagramBytes) {
    /** The defaults. */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(500, 150, 3, 4, 4, 3, 600_000, 20_000, MessageCodec.MAX_BYTES);

    /** Checks all ranges. */
    public MembershipSettings {
        check("interval", probeIntervalMillis, 100, 60_000);
        check("timeout", probeTimeoutMillis, 10, probeIntervalMillis / 2);
        check("helpers", indirectProbes, 1, 10);
        check("suspicion", suspicionMultiplier, 1, 20);
        check("suspicion_most", maxSuspicionMultiplier, 1, 20);
        check("spread", retransmitMultiplier, 1, 10);
        check("forget", forgetAfterMillis, 10_000, 3_600_000);
        check("most", maxMembers, 2, 100_000);
        check("room", datagramBytes, 128, MessageCodec.MAX_BYTES);
    }

    private static void check(String key, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw new IllegalArgumentException(key + " is " + value + ", expected " + min + " to " + max);
        }
    }

    /** Returns the minimum time from suspect to dead in a fleet with that number of members. */
    double minSuspicionMillis(int members) {
        return suspicionMultiplier * Math.max(1, Math.log10(members + 1.0)) * probeIntervalMillis;
    }

    /** Returns the number of transmissions of an update in a fleet with that number of members. */
    int maxTransmissions(int members) {
        return retransmitMultiplier * Math.max(1, 32 - Integer.numberOfLeadingZeros(members));
    }
}
