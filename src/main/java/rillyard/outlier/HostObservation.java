package rillyard.outlier;

import rillyard.subset.NameHash;

/**
 * What one proxy last saw of one host.
 *
 * @param host its number, {@link #number} of its name
 * @param failed whether the last attempt that told anything failed
 * @param ageMillis ms since then, 0 to {@link #MAX_AGE}
 */
public record HostObservation(int host, boolean failed, double ageMillis) {
    /** The oldest (ms) that fits on the wire; nobody counts one so old. */
    public static final double MAX_AGE = 127 * ObservationCodec.AGE_STEP;

    /**
     * Checks the age.
     *
     * @throws IllegalArgumentException if it is out of its range
     */
    public HostObservation {
        if (!(ageMillis >= 0 && ageMillis <= MAX_AGE)) {
            throw new IllegalArgumentException("a vote of " + ageMillis + " ms, expected 0 to " + MAX_AGE);
        }
    }

    /**
     * A host's number: 32 bits of its name, the same in every process. Two of 1,000 hosts share one once in some 9,000
     * fleets; they are then left and taken back together.
     */
    public static int number(String name) {
        return NameHash.of(name);
    }
}
