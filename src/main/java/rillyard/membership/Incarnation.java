package rillyard.membership;

/**
 * Which word of a member's about itself is the newer one: first by when its process started (Unix time, ms),
 * then by how often it has spoken up since. Only the member itself makes new ones.
 */
public record Incarnation(long start, int incarnation) implements Comparable<Incarnation> {
    /** Start times have 48 bits on the wire, incarnations 16. */
    public static final long MAX_START = (1L << 48) - 1;

    public static final int MAX_INCARNATION = 65_535;

    public Incarnation {
        if (start < 0 || start > MAX_START || incarnation < 0 || incarnation > MAX_INCARNATION) {
            throw new IllegalArgumentException("no life: " + start + ", " + incarnation);
        }
    }

    /** The next word of the same process; past the range it counts as one that started a moment later. */
    Incarnation next() {
        return incarnation < MAX_INCARNATION ? new Incarnation(start, incarnation + 1) : new Incarnation(start + 1, 0);
    }

    @Override
    public int compareTo(Incarnation o) {
        return start != o.start ? Long.compare(start, o.start) : Integer.compare(incarnation, o.incarnation);
    }
}
