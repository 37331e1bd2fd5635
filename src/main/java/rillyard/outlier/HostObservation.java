package rillyard.outlier;

import rillyard.subset.NameHash;

/**
 * The last observation of one host by one proxy.
 *
 * @param host number of the host, {@link #hostNumber} of its name
 * @param failed whether the last attempt with a clear outcome failed
 * @param ageMillis time since that attempt, from 0 to {@link #MAX_AGE_MILLIS}
 */
public record HostObservation(int host, boolean failed, double ageMillis) {
    /** The greatest age that can be encoded; observations that old are ignored anyway. */
    public static final double MAX_AGE_MILLIS = 127 * ObservationCodec.AGE_STEP_MILLIS;

    /**
     * Checks the age.
     *
     * @throws IllegalArgumentException if it is out of its range
     */
    public HostObservation {
        if (!(ageMillis >= 0 && ageMillis <= MAX_AGE_MILLIS)) {
            throw new IllegalArgumentException("ageMillis is " + ageMillis + ", expected 0 to " + MAX_AGE_MILLIS);
        }
    }

    /**
     * Returns the number of a host: 32 bits of a hash of its name, the same in every process. In one of some 9,000
     * fleets of 1,000 hosts, two hosts have the same number; they are then ejected and readmitted together.
     */
    public static int hostNumber(String name) {
        return NameHash.of(name);
    }
}
