package rillyard.membership.net;

/** The datagrams of one sender that were accepted: a sliding window over their counts (RFC 4303, 3.4.3). */
final class ReplayWindow {
    /** Counts behind the newest that are still accepted. */
    private static final int SIZE = 64;

    private long startedAt = -1;
    private long newest;

    /** Bit {@code i} is set if the count {@code newest - i} was accepted. */
    private long accepted;

    /** Returns whether a datagram was accepted before, is too old, or is of an earlier process of the sender. */
    boolean isReplayed(long senderStartedAt, long count) {
        if (senderStartedAt != startedAt) {
            return senderStartedAt < startedAt;
        }
        long behind = newest - count;
        return behind >= SIZE || (behind >= 0 && ((accepted >>> behind) & 1) == 1);
    }

    /** Records a datagram that is not replayed. */
    void accept(long senderStartedAt, long count) {
        if (senderStartedAt != startedAt) {
            startedAt = senderStartedAt;
            newest = count;
            accepted = 1;
        } else if (count > newest) {
            long ahead = count - newest;
            accepted = (ahead >= SIZE ? 0 : accepted << ahead) | 1;
            newest = count;
        } else {
            accepted |= 1L << (newest - count);
        }
    }
}
