package rillyard.outlier;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes a proxy's observations as values of member attributes. Each takes five bytes: the host's number, and a byte
 * with the failure in its highest bit and the age in steps of {@link #AGE_STEP_MILLIS} in the others.
 */
public final class ObservationCodec {
    /** Resolution of an encoded age. */
    static final double AGE_STEP_MILLIS = 50;

    /** Largest number of observations in an attribute of 32 bytes. */
    static final int MAX_PER_ATTRIBUTE = 6;

    private static final int OBSERVATION_BYTES = 5;
    private static final int FAILED_BIT = 0x80;
    private static final int AGE_MASK = 0x7F;

    private ObservationCodec() {}

    /** Encodes the first observations of the list into at most {@code maxValues} values, six in each. */
    public static List<byte[]> encode(List<HostObservation> observations, int maxValues) {
        List<byte[]> values = new ArrayList<>();
        for (int from = 0; from < observations.size() && values.size() < maxValues; from += MAX_PER_ATTRIBUTE) {
            int to = Math.min(observations.size(), from + MAX_PER_ATTRIBUTE);
            values.add(encodeValue(observations.subList(from, to)));
        }
        return values;
    }

    private static byte[] encodeValue(List<HostObservation> observations) {
        ByteBuffer buffer = ByteBuffer.allocate(observations.size() * OBSERVATION_BYTES);
        for (HostObservation observation : observations) {
            int ageSteps = (int) (observation.ageMillis() / AGE_STEP_MILLIS);
            buffer.putInt(observation.host()).put((byte) ((observation.failed() ? FAILED_BIT : 0) | ageSteps));
        }
        return buffer.array();
    }

    /**
     * Decodes the value of a peer's attribute.
     *
     * @param elapsedMillis time since it was published, which is added to each age; observations that are too old then
     *     are left out
     * @throws IllegalArgumentException if the value is malformed
     */
    public static List<HostObservation> decode(byte[] value, double elapsedMillis) {
        if (value.length == 0
                || value.length % OBSERVATION_BYTES != 0
                || value.length > MAX_PER_ATTRIBUTE * OBSERVATION_BYTES
                || !(elapsedMillis >= 0)) {
            throw new IllegalArgumentException("malformed observations: " + value.length + " bytes published "
                    + elapsedMillis + " ms ago, expected 5 to 30 bytes in steps of 5");
        }
        List<HostObservation> observations = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.wrap(value);
        while (buffer.hasRemaining()) {
            int host = buffer.getInt();
            int failureAndAge = buffer.get();
            double ageMillis = (failureAndAge & AGE_MASK) * AGE_STEP_MILLIS + elapsedMillis;
            if (ageMillis <= HostObservation.MAX_AGE_MILLIS) {
                observations.add(new HostObservation(host, (failureAndAge & FAILED_BIT) != 0, ageMillis));
            }
        }
        return observations;
    }
}
