package rillyard.proxy.downstream;

/**
 * Bounds when the bytes of one long body were sent, by when the bytes before them were read.
 *
 * <p>The kernels of both ends hold a limited number of bytes, so a byte can't have been sent before the one that
 * precedes it by that number was read. Times are {@link System#nanoTime}; positions are numbers of bytes.
 */
final class ReceiveHistory {
    /** Most bytes between a client's write and the proxy's read: a send buffer of 4 MiB, and the receive buffer. */
    private static final long MAX_KERNEL_BYTES = 5L << 20;

    private static final long STEP_BYTES = 256L << 10;
    private static final int STORED_STEPS = (int) (MAX_KERNEL_BYTES / STEP_BYTES) + 2;

    /** When each of the latest multiples of the step was exceeded, by the multiple modulo the length. */
    private final long[] exceededAtNanos = new long[STORED_STEPS];

    private long steps;
    private long receivedBytes;

    /** Records that so many bytes of the body have been read. */
    void onReceived(long totalBytes, long nowNanos) {
        receivedBytes = totalBytes;
        while (steps * STEP_BYTES < totalBytes) {
            exceededAtNanos[(int) (steps % STORED_STEPS)] = nowNanos;
            steps++;
        }
    }

    /** Returns whether the byte that ends at {@code position} may have been sent. */
    boolean mayHaveBeenSent(long position) {
        return position - MAX_KERNEL_BYTES <= receivedBytes;
    }

    /**
     * Returns a time before which the byte that ends at {@code position} was not sent.
     *
     * @param position that of a byte that {@link #mayHaveBeenSent}
     * @param beginningNanos when the first byte of the body may have been sent
     */
    long sentSinceNanos(long position, long beginningNanos) {
        long precedingStep = (position - MAX_KERNEL_BYTES) / STEP_BYTES;
        return position <= MAX_KERNEL_BYTES || precedingStep >= steps
                ? beginningNanos
                : exceededAtNanos[(int) (precedingStep % STORED_STEPS)];
    }
}
