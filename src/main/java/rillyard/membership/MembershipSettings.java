package rillyard.membership;

/**
 * How the fleet watches itself; the same for all members. Times are ms.
 *
 * @param probeIntervalMillis between two probes of a member that is well, 100 to 60,000
 * @param probeTimeoutMillis for the answer to a probe before others are asked to try, 10 to half of the interval
 * @param indirectProbes how many others are asked, 1 to 10
 * @param suspicionMultiplier factor of the least time from suspect to dead, in intervals and decades of members, 1 to 20
 * @param maxSuspicionMultiplier the longest such time, as a multiple of the least, 1 to 20
 * @param retransmitMultiplier how often a word is passed on, in doublings of the members, 1 to 10
 * @param forgetAfterMillis for how long a member that is dead or has left is remembered, 10,000 to 3,600,000
 * @param maxMembers members that are kept at all, 2 to 100,000
 * @param datagramBytes bytes of a datagram, 128 to {@link MessageCodec#MAX_BYTES}
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
    /** As they hold where nothing else is told. */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(500, 150, 3, 4, 4, 3, 600_000, 20_000, MessageCodec.MAX_BYTES);

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

    private static void check(String what, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw new IllegalArgumentException(what + " is " + value + ", expected " + least + " to " + most);
        }
    }

    /** The least time from suspect to dead in a fleet of so many. */
    double leastSuspicion(int members) {
        return suspicionMultiplier * Math.max(1, Math.log10(members + 1.0)) * probeIntervalMillis;
    }

    /** How often a word is passed on in a fleet of so many. */
    int transmits(int members) {
        return retransmitMultiplier * Math.max(1, 32 - Integer.numberOfLeadingZeros(members));
    }
}
