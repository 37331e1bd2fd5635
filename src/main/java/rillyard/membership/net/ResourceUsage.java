package rillyard.membership.net;

/** Counts the datagrams and the thread time that membership uses. Confined to the event loop of the fleet. */
final class ResourceUsage {
    private long sentDatagrams;
    private long sentBytes;
    private long receivedDatagrams;
    private long receivedBytes;
    private long rejectedDatagrams;
    private long busyNanos;

    void onSent(int bytes) {
        sentDatagrams++;
        sentBytes += bytes;
    }

    void onReceived(int bytes) {
        receivedDatagrams++;
        receivedBytes += bytes;
    }

    void onRejected() {
        rejectedDatagrams++;
    }

    /** Counts the time since {@code startNanos} ({@link System#nanoTime}) as work. */
    void addBusySince(long startNanos) {
        busyNanos += System.nanoTime() - startNanos;
    }

    long sentDatagrams() {
        return sentDatagrams;
    }

    long sentBytes() {
        return sentBytes;
    }

    long receivedDatagrams() {
        return receivedDatagrams;
    }

    long receivedBytes() {
        return receivedBytes;
    }

    long rejectedDatagrams() {
        return rejectedDatagrams;
    }

    long busyMillis() {
        return busyNanos / 1_000_000;
    }
}
