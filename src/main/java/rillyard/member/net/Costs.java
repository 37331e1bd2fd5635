package rillyard.member.net;

/** What membership has cost this process so far; used on the fleet's thread only. */
final class Costs {
    long sent;
    long sentBytes;
    long received;
    long receivedBytes;
    long turnedAway;
    long busyNanos;

    /** Counts the time since {@code from} (ns) as work. */
    void busySince(long from) {
        busyNanos += System.nanoTime() - from;
    }
}
