package rillyard.proxy.dispatch;

import io.netty.buffer.ByteBuf;
import java.util.List;
import rillyard.proxy.resources.BufferedBody;

/** Buffers the body of a host's response until it is complete, or proves too long for that. */
final class ResponseBuffer {
    /** The most of a response of unknown length that is buffered in the hope of its end. */
    private static final long MAX_UNKNOWN_LENGTH_BYTES = 32 * 1024;

    /** The longest (ms) it is buffered: of a long one the first bytes count, and hosts may send them slowly. */
    private static final double MAX_UNKNOWN_LENGTH_MILLIS = 30;

    private final BalancerDriver driver;
    private final long contentLength;
    private final Runnable memoryWaiter;
    private final double createdAt;
    private BufferedBody body;

    /**
     * Creates an empty buffer as the head of the response has come.
     *
     * @param contentLength announced length in bytes, -1 if unknown
     * @param memoryWaiter resumes reading; may be run once more after {@link #release}
     */
    ResponseBuffer(BalancerDriver driver, long contentLength, Runnable memoryWaiter) {
        this.driver = driver;
        this.contentLength = contentLength;
        this.memoryWaiter = memoryWaiter;
        this.createdAt = driver.now();
    }

    /** Copies a part of the body. */
    void append(ByteBuf content) {
        if (body == null) {
            body = driver.bodyMemory().newBody(contentLength, false);
        }
        body.append(content);
    }

    /** Returns whether the response is to be forwarded as it comes. */
    boolean isTooLong() {
        if (contentLength >= 0) {
            return contentLength > BufferedBody.MAX_BUFFERED_BYTES;
        }
        return size() > MAX_UNKNOWN_LENGTH_BYTES || driver.now() - createdAt > MAX_UNKNOWN_LENGTH_MILLIS;
    }

    private long size() {
        return body == null ? 0 : body.size();
    }

    /** Returns whether reading must pause for want of memory; the waiter is run when there is some again. */
    boolean mustAwaitMemory() {
        if (!driver.bodyMemory().isExhausted(size())) {
            return false;
        }
        driver.bodyMemory().awaitCapacity(memoryWaiter);
        return true;
    }

    /** Returns what is buffered, for one write; the caller releases the blocks. */
    List<ByteBuf> retainedBlocks() {
        return body == null ? List.of() : body.retainedBlocks();
    }

    /** Returns the body, which the caller releases, or null if it is empty. */
    BufferedBody takeBody() {
        BufferedBody taken = body;
        body = null;
        return taken;
    }

    /** Frees what is buffered, and waits for no memory any more. */
    void release() {
        driver.bodyMemory().cancelWait(memoryWaiter);
        if (body != null) {
            body.release();
            body = null;
        }
    }
}
