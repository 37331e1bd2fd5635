package rillyard.subset;

/**
 * How many hosts an instance may have, so that hosts bear the connections of all.
 *
 * @param hosts hosts that an instance has
 * @param most instances of the host that has the most of them
 * @param connections what that host holds at most
 */
public record SubsetSize(int hosts, int most, long connections) {
    /** The design's draw needs two hosts to choose from. */
    public static final int LEAST = 2;

    /** Thrown where even the least subset is too much for the hosts. */
    public static final class TooManyException extends Exception {
        private static final long serialVersionUID = 1;

        TooManyException(String message) {
            super(message);
        }
    }

    /**
     * The most hosts an instance may have.
     *
     * @param instances 1 or more
     * @param hosts 2 or more
     * @param cap connections that a host takes
     * @param each connections that an instance holds to a host of its subset at most
     * @param reserve the part of the cap, from 0 to below 1, that is left free: for instances that are there twice
     *     during a rolling restart, and for subsets that widen
     * @throws IllegalArgumentException if a figure is out of its range
     * @throws TooManyException if subsets of {@link #LEAST} hosts are too much; says what would do
     */
    public static SubsetSize largest(
            SubsettingStrategy way, int instances, int hosts, int cap, int each, double reserve)
            throws TooManyException {
        if (instances < 1 || hosts < LEAST || cap < 1 || each < 1 || !(reserve >= 0 && reserve < 1)) {
            throw new IllegalArgumentException("expected instances, cap and connections each of 1 or more, " + LEAST
                    + " hosts or more and a reserve from 0 to below 1");
        }
        long room = (long) Math.floor(cap * (1 - reserve) + 1e-9);
        int size = (int) Math.min(hosts, room * hosts / ((long) instances * each));
        for (; size >= LEAST; size--) {
            int most = SubsetStatistics.most(way, instances, hosts, size);
            if ((long) most * each <= room) {
                return new SubsetSize(size, most, (long) most * each);
            }
        }
        long needed = (long) SubsetStatistics.most(way, instances, hosts, LEAST) * each;
        throw new TooManyException(instances + " instances with " + LEAST + " hosts each put up to " + needed
                + " connections on a host, and "
                + room + " of " + cap + " may be used: expected a cap of "
                + (long) Math.ceil(needed / (1 - reserve)) + " or more, or more hosts, or fewer connections each");
    }
}
