package rillyard.outlier;

import rillyard.subset.NameHash;

/**
 * What one proxy last observed of one host.
 *
 * @param host its number, {@link #hostNumber} of its name
 * @param failed whether the last attempt with a clear outcome failed
 * @param ageMillis time since then, from 0 to {@link #MAX_AGE_MILLIS}
 */
public record HostObservation(int host, boolean failed, double ageMillis) {
    /** The greatest age that fits on the wire; observations so old are ignored anyway. */
    public static final double MAX_AGE_MILLIS = 127 * ObservationCodec.AGE_STEP_MILLIS;

    /**
     * Checks the age.
     *
     * @throws IllegalArgumentException if it is out of its range
     */
    public HostObservation {
        if (!(ageMillis >= 0 && ageMillis <= MAX_AGE_MILLIS)) {
            throw new IllegalArgumentException(
                    "an observation " + ageMillis + " ms old, expected 0 to " + MAX_AGE_MILLIS);
        }
    }

    /**
     * Returns a host's number: 32 bits of a hash of its name, the same in every process. Two of 1,000 hosts share one in one
     * of some 9,000 fleets; they are then ejected and readmitted together.
     */
    public static int hostNumber(String name) {
        return NameHash.of(name);
    }
}
