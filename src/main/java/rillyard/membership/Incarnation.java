package rillyard.membership;

/**
 * The incarnation of a member, which orders the updates about it; only the member itself creates new ones.
 *
 * @param startedAtMillis Unix time at which its process started, 0 to {@link #MAX_STARTED_AT_MILLIS}
 * @param counter number of refutations since then, 0 to {@link #MAX_COUNTER}
 */
public record Incarnation(long startedAtMillis, int counter) implements Comparable<Incarnation> {
    /** Latest start time, which has 48 bits in datagrams. */
    public static final long MAX_STARTED_AT_MILLIS = (1L << 48) - 1;

    /** Largest counter, which has 16 bits in datagrams. */
    public static final int MAX_COUNTER = 65_535;

    /** Checks both ranges. */
    public Incarnation {
        if (startedAtMillis < 0 || startedAtMillis > MAX_STARTED_AT_MILLIS || counter < 0 || counter > MAX_COUNTER) {
            throw new IllegalArgumentException(
                    "incarnation out of range: start " + startedAtMillis + ", counter " + counter);
        }
    }

    /** Returns the next incarnation of the same process; if the counter overflows, the start increases by 1 ms. */
    Incarnation next() {
        return counter < MAX_COUNTER
                ? new Incarnation(startedAtMillis, counter + 1)
                : new Incarnation(startedAtMillis + 1, 0);
    }

    @Override
    public int compareTo(Incarnation other) {
        return startedAtMillis != other.startedAtMillis
                ? Long.compare(startedAtMillis, other.startedAtMillis)
                : Integer.compare(counter, other.counter);
    }
}
