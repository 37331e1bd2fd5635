package rillyard.membership;

/**
 * Which word of a member's about itself is the newer one: first by when its process started (Unix time, ms),
 * then by how often it has spoken up since. Only the member itself makes new ones.
 */
public record Incarnation(long startedAtMillis, int counter) implements Comparable<Incarnation> {
    /** Start times have 48 bits on the wire, incarnations 16. */
    public static final long MAX_START = (1L << 48) - 1;

    public static final int MAX_INCARNATION = 65_535;

    public Incarnation {
        if (startedAtMillis < 0 || startedAtMillis > MAX_START || counter < 0 || counter > MAX_INCARNATION) {
            throw new IllegalArgumentException("no life: " + startedAtMillis + ", " + counter);
        }
    }

    /** The next word of the same process; past the range it counts as one that started a moment later. */
    Incarnation next() {
        return counter < MAX_INCARNATION
                ? new Incarnation(startedAtMillis, counter + 1)
                : new Incarnation(startedAtMillis + 1, 0);
    }

    @Override
    public int compareTo(Incarnation o) {
        return startedAtMillis != o.startedAtMillis
                ? Long.compare(startedAtMillis, o.startedAtMillis)
                : Integer.compare(counter, o.counter);
    }
}
