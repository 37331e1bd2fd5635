package rillyard.membership.net;

/** What membership has cost this process so far; used on the fleet's thread only. */
final class ResourceUsage {
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
