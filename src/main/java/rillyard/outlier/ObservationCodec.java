package rillyard.outlier;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** A proxy's votes as the values of its facts: five bytes a vote, the host's number, and whether it failed with the age. */
public final class ObservationCodec {
    /** ms in one step of an age on the wire. */
    static final double AGE_STEP = 50;

    /** Bytes of a vote. */
    private static final int VOTE = 5;

    /** Votes in a fact of 32 bytes. */
    static final int IN_A_FACT = 6;

    private static final int FAILED = 0x80;

    private ObservationCodec() {}

    /** Votes as values, six in each, and no more values than {@code most}: those that are first in the list. */
    public static List<byte[]> encode(List<HostObservation> votes, int most) {
        List<byte[]> values = new ArrayList<>();
        for (int i = 0; i < votes.size() && values.size() < most; i += IN_A_FACT) {
            List<HostObservation> some = votes.subList(i, Math.min(votes.size(), i + IN_A_FACT));
            ByteBuffer buffer = ByteBuffer.allocate(some.size() * VOTE);
            for (HostObservation observation : some) {
                buffer.putInt(observation.host())
                        .put((byte) ((observation.failed() ? FAILED : 0) | (int) (observation.ageMillis() / AGE_STEP)));
            }
            values.add(buffer.array());
        }
        return values;
    }

    /**
     * Reads a value that somebody has sent.
     *
     * @param since ms since it was said: each vote is older by that; those that get too old to fit are left out
     * @throws IllegalArgumentException if it is none
     */
    public static List<HostObservation> decode(byte[] value, double since) {
        if (value.length == 0 || value.length % VOTE != 0 || value.length > IN_A_FACT * VOTE || !(since >= 0)) {
            throw new IllegalArgumentException(
                    "no votes: " + value.length + " bytes said " + since + " ms ago, expected 5 to 30 in steps of 5");
        }
        List<HostObservation> votes = new ArrayList<>();
        for (ByteBuffer buffer = ByteBuffer.wrap(value); buffer.hasRemaining(); ) {
            int host = buffer.getInt();
            int rest = buffer.get();
            double age = (rest & ~FAILED & 0xFF) * AGE_STEP + since;
            if (age <= HostObservation.MAX_AGE) {
                votes.add(new HostObservation(host, (rest & FAILED) != 0, age));
            }
        }
        return votes;
    }
}
