package rillyard.proxy.dispatch;

import io.netty.buffer.ByteBuf;
import java.util.List;
import rillyard.proxy.resources.BufferedBody;

/** Buffers the body of a host's response until it is complete or too long to be buffered. */
final class ResponseBuffer {
    /** Most bytes of a response of unknown length that are buffered, in case it ends soon. */
    private static final long MAX_UNKNOWN_LENGTH_BYTES = 32 * 1024;

    /**
     * Longest time (ms) for which a response of unknown length is buffered: for a long one the time to the first bytes
     * counts, and hosts may send them slowly.
     */
    static final double MAX_UNKNOWN_LENGTH_MILLIS = 30;

    private final BalancerDriver driver;
    private final long contentLength;
    private final Runnable memoryWaiter;
    private BufferedBody body;

    /**
     * Creates an empty buffer; to be called when the head of the response has been received.
     *
     * @param contentLength announced length in bytes, -1 if unknown
     * @param memoryWaiter resumes reading; may be run once more after {@link #release}
     */
    ResponseBuffer(BalancerDriver driver, long contentLength, Runnable memoryWaiter) {
        this.driver = driver;
        this.contentLength = contentLength;
        this.memoryWaiter = memoryWaiter;
    }

    /** Appends a copy of a part of the body. */
    void append(ByteBuf content) {
        if (body == null) {
            body = driver.bodyMemory().newBody(contentLength, false);
        }
        body.append(content);
    }

    /** Returns whether the response is to be forwarded instead of buffered, by its size. */
    boolean isTooLong() {
        if (contentLength >= 0) {
            return contentLength > BufferedBody.MAX_BUFFERED_BYTES;
        }
        return size() > MAX_UNKNOWN_LENGTH_BYTES;
    }

    private long size() {
        return body == null ? 0 : body.size();
    }

    /**
     * Returns whether body memory is exhausted, so that reading must pause; the waiter then runs when there is memory
     * again.
     */
    boolean awaitMemoryIfExhausted() {
        if (!driver.bodyMemory().isExhausted(size())) {
            return false;
        }
        driver.bodyMemory().awaitCapacity(memoryWaiter);
        return true;
    }

    /** Returns the buffered blocks for one write; the caller releases them. */
    List<ByteBuf> retainedBlocks() {
        return body == null ? List.of() : body.retainedBlocks();
    }

    /** Removes and returns the body, which the caller releases; null if it is empty. */
    BufferedBody takeBody() {
        BufferedBody taken = body;
        body = null;
        return taken;
    }

    /** Frees the buffered bytes and ends the wait for memory. */
    void release() {
        driver.bodyMemory().cancelWait(memoryWaiter);
        if (body != null) {
            body.release();
            body = null;
        }
    }
}
