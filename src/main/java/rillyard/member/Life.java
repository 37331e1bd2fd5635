package rillyard.member;

/**
 * Which word of a member's about itself is the newer one: first by when its process started (Unix time, ms),
 * then by how often it has spoken up since. Only the member itself makes new ones.
 */
public record Life(long start, int incarnation) implements Comparable<Life> {
    /** Start times have 48 bits on the wire, incarnations 16. */
    public static final long MAX_START = (1L << 48) - 1;

    public static final int MAX_INCARNATION = 65_535;

    public Life {
        if (start < 0 || start > MAX_START || incarnation < 0 || incarnation > MAX_INCARNATION) {
            throw new IllegalArgumentException("no life: " + start + ", " + incarnation);
        }
    }

    /** The next word of the same process; past the range it counts as one that started a moment later. */
    Life next() {
        return incarnation < MAX_INCARNATION ? new Life(start, incarnation + 1) : new Life(start + 1, 0);
    }

    @Override
    public int compareTo(Life o) {
        return start != o.start ? Long.compare(start, o.start) : Integer.compare(incarnation, o.incarnation);
    }
}
