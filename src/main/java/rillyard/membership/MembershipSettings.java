package rillyard.membership;

/**
 * How the fleet watches itself; the same for all members. Times are ms.
 *
 * @param interval between two probes of a member that is well, 100 to 60,000
 * @param timeout for the answer to a probe before others are asked to try, 10 to half of the interval
 * @param helpers how many others are asked, 1 to 10
 * @param suspicion factor of the least time from suspect to dead, in intervals and decades of members, 1 to 20
 * @param suspicionMost the longest such time, as a multiple of the least, 1 to 20
 * @param spread how often a word is passed on, in doublings of the members, 1 to 10
 * @param forget for how long a member that is dead or has left is remembered, 10,000 to 3,600,000
 * @param most members that are kept at all, 2 to 100,000
 * @param room bytes of a datagram, 128 to {@link MessageCodec#MAX_BYTES}
 */
public record MembershipSettings(
        double interval,
        double timeout,
        int helpers,
        double suspicion,
        double suspicionMost,
        int spread,
        double forget,
        int most,
        int room) {
    /** As they hold where nothing else is told. */
    public static final MembershipSettings USUAL =
            new MembershipSettings(500, 150, 3, 4, 4, 3, 600_000, 20_000, MessageCodec.MAX_BYTES);

    public MembershipSettings {
        check("interval", interval, 100, 60_000);
        check("timeout", timeout, 10, interval / 2);
        check("helpers", helpers, 1, 10);
        check("suspicion", suspicion, 1, 20);
        check("suspicion_most", suspicionMost, 1, 20);
        check("spread", spread, 1, 10);
        check("forget", forget, 10_000, 3_600_000);
        check("most", most, 2, 100_000);
        check("room", room, 128, MessageCodec.MAX_BYTES);
    }

    private static void check(String what, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw new IllegalArgumentException(what + " is " + value + ", expected " + least + " to " + most);
        }
    }

    /** The least time from suspect to dead in a fleet of so many. */
    double leastSuspicion(int members) {
        return suspicion * Math.max(1, Math.log10(members + 1.0)) * interval;
    }

    /** How often a word is passed on in a fleet of so many. */
    int transmits(int members) {
        return spread * Math.max(1, 32 - Integer.numberOfLeadingZeros(members));
    }
}
