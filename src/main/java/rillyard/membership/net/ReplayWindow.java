package rillyard.membership.net;

/** Records the accepted datagrams of one sender in a sliding window over their counts (RFC 4303, 3.4.3). */
final class ReplayWindow {
    /** Number of counts behind the newest that are still accepted. */
    private static final int SIZE = 64;

    private long startedAtMillis = -1;
    private long newestCount;

    /** Bit {@code i} is set if the count {@code newestCount - i} was accepted. */
    private long accepted;

    /** Returns whether a datagram was accepted before, is too old, or is of an earlier process of the sender. */
    boolean isReplayed(long senderStartedAtMillis, long count) {
        if (senderStartedAtMillis != startedAtMillis) {
            return senderStartedAtMillis < startedAtMillis;
        }
        long behind = newestCount - count;
        return behind >= SIZE || (behind >= 0 && ((accepted >>> behind) & 1) == 1);
    }

    /** Records a datagram that is not replayed. */
    void accept(long senderStartedAtMillis, long count) {
        if (senderStartedAtMillis != startedAtMillis) {
            startedAtMillis = senderStartedAtMillis;
            newestCount = count;
            accepted = 1;
        } else if (count > newestCount) {
            long ahead = count - newestCount;
            accepted = (ahead >= SIZE ? 0 : accepted << ahead) | 1;
            newestCount = count;
        } else {
            accepted |= 1L << (newestCount - count);
        }
    }
}
