package rillyard.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;

/**
 * Holds what a client sends ahead of the response to its current request: parts that were parsed in the same read, and
 * behind them bytes as they came.
 *
 * <p>Nothing is allocated for a connection that does not pipeline.
 */
final class PipelineBuffer {
    /** Bytes past which no more is read, so that a close behind them is not seen. */
    private static final int MAX_BYTES = 32 * 1024;

    private static final int MAX_COMPONENTS = 64;

    private ArrayDeque<HttpObject> parts;
    private CompositeByteBuf bytes;

    /** Appends a parsed part, of which the buffer takes over the reference. */
    void addPart(HttpObject part) {
        if (parts == null) {
            parts = new ArrayDeque<>(2);
        }
        parts.add(part);
    }

    boolean hasParts() {
        return parts != null && !parts.isEmpty();
    }

    /** Returns the oldest part with its reference, null if there is none. */
    HttpObject pollPart() {
        return parts == null ? null : parts.poll();
    }

    void releaseParts() {
        HttpObject part;
        while ((part = pollPart()) != null) {
            ReferenceCountUtil.release(part);
        }
    }

    /** From here on bytes are held unparsed until {@link #takeBytes}. */
    void holdBytes(ByteBufAllocator allocator) {
        if (bytes == null) {
            bytes = allocator.compositeBuffer(MAX_COMPONENTS);
        }
    }

    boolean isHoldingBytes() {
        return bytes != null;
    }

    boolean hasBytes() {
        return bytes != null && bytes.isReadable();
    }

    /** Appends bytes, of which the buffer takes over the reference; returns whether it is full now. */
    boolean addBytes(ByteBuf read) {
        bytes.addComponent(true, read);
        return bytes.readableBytes() >= MAX_BYTES;
    }

    /** Stops holding bytes and returns those held with their reference, null if none were to be held. */
    ByteBuf takeBytes() {
        ByteBuf taken = bytes;
        bytes = null;
        return taken;
    }

    void releaseBytes() {
        ReferenceCountUtil.release(takeBytes());
    }
}
