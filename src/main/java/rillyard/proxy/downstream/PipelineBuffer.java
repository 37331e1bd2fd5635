package rillyard.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import rillyard.proxy.resources.BodyMemoryBudget;

/**
 * Holds what a client sends ahead of the response to its current request: parts that were parsed in the same read, and
 * behind them bytes as they came.
 *
 * <p>Nothing is allocated for a connection that does not pipeline. What is held beyond {@link #FREE_BYTES} counts as
 * memory for bodies.
 */
final class PipelineBuffer {
    /** Bytes past which no more is read, so that a close behind them is not seen. */
    static final int MAX_BYTES = 1024 * 1024;

    /** Bytes that are held without being charged to the memory for bodies. */
    private static final int FREE_BYTES = 32 * 1024;

    /** Bytes that are parsed at a time, as parsed requests take a multiple of their bytes. */
    private static final int MAX_TAKEN_BYTES = 32 * 1024;

    private static final int MAX_COMPONENTS = 64;

    private final BodyMemoryBudget memory;
    private ArrayDeque<HttpObject> parts;
    private CompositeByteBuf bytes;
    private int chargedBytes;

    /** Creates an empty buffer that shares the memory for bodies. */
    PipelineBuffer(BodyMemoryBudget memory) {
        this.memory = memory;
    }

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
        chargeHeldBytes();
        return bytes.readableBytes() >= MAX_BYTES || memory.isExhausted(MAX_BYTES);
    }

    /** Returns the oldest bytes with their reference, null if none were to be held; stops holding with the last ones. */
    ByteBuf takeBytes() {
        if (bytes == null || bytes.readableBytes() <= MAX_TAKEN_BYTES) {
            ByteBuf taken = bytes;
            bytes = null;
            chargeHeldBytes();
            return taken;
        }
        ByteBuf taken = bytes.readBytes(MAX_TAKEN_BYTES); // copied, as a slice would move with what is discarded
        bytes.discardReadComponents();
        chargeHeldBytes();
        return taken;
    }

    void releaseBytes() {
        ReferenceCountUtil.release(bytes);
        bytes = null;
        chargeHeldBytes();
    }

    private void chargeHeldBytes() {
        int heldBytes = bytes == null ? 0 : bytes.readableBytes();
        int charge = Math.max(0, heldBytes - FREE_BYTES);
        int before = chargedBytes;
        chargedBytes = charge;
        if (charge > before) {
            memory.charge(charge - before, false);
        } else if (charge < before) {
            memory.release(before - charge, false);
        }
    }
}
