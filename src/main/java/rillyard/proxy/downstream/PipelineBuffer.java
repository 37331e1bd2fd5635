package rillyard.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import rillyard.proxy.resources.BodyMemoryBudget;

/**
 * Holds pipelined input, which a client sends before the response to its current request: the parts that were parsed in
 * the same read, and behind them unparsed bytes.
 *
 * <p>Nothing is allocated for a connection that does not pipeline. Held bytes beyond {@link #UNCHARGED_BYTES} are
 * charged to the memory budget of bodies.
 */
final class PipelineBuffer {
    /** Number of held bytes at which reading is paused, so that a close behind them is not noticed. */
    static final int MAX_BYTES = 1024 * 1024;

    /** Number of bytes that are held without being charged to the memory budget of bodies. */
    private static final int UNCHARGED_BYTES = 32 * 1024;

    /** Most bytes that are taken to be parsed at a time, as parsed requests use a multiple of their memory. */
    private static final int MAX_TAKEN_BYTES = 32 * 1024;

    private static final int MAX_COMPONENTS = 64;

    private final BodyMemoryBudget memory;
    private ArrayDeque<HttpObject> parts;
    private CompositeByteBuf bytes;
    private int chargedBytes;

    /** Creates an empty buffer that is charged to the memory budget of bodies. */
    PipelineBuffer(BodyMemoryBudget memory) {
        this.memory = memory;
    }

    /** Appends a parsed part; the buffer takes over its reference. */
    void addPart(HttpObject part) {
        if (parts == null) {
            parts = new ArrayDeque<>(2);
        }
        parts.add(part);
    }

    boolean hasParts() {
        return parts != null && !parts.isEmpty();
    }

    /** Removes and returns the oldest part with its reference, or returns null if there is none. */
    HttpObject pollPart() {
        return parts == null ? null : parts.poll();
    }

    void releaseParts() {
        HttpObject part;
        while ((part = pollPart()) != null) {
            ReferenceCountUtil.release(part);
        }
    }

    /** From now on holds bytes unparsed, until {@link #takeBytes} has returned the last ones. */
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

    /** Appends bytes, whose reference the buffer takes over; returns whether it is full now. */
    boolean addBytes(ByteBuf read) {
        bytes.addComponent(true, read);
        chargeHeldBytes();
        return bytes.readableBytes() >= MAX_BYTES || memory.isExhausted(MAX_BYTES);
    }

    /**
     * Removes and returns the oldest bytes with their reference, or returns null if the buffer does not hold bytes. It
     * stops holding them with the last ones.
     */
    ByteBuf takeBytes() {
        if (bytes == null || bytes.readableBytes() <= MAX_TAKEN_BYTES) {
            ByteBuf taken = bytes;
            bytes = null;
            chargeHeldBytes();
            return taken;
        }
        ByteBuf taken = bytes.readBytes(MAX_TAKEN_BYTES); // copied, as a slice would change with the discard
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
        int charge = Math.max(0, heldBytes - UNCHARGED_BYTES);
        int before = chargedBytes;
        chargedBytes = charge;
        if (charge > before) {
            memory.charge(charge - before, false);
        } else if (charge < before) {
            memory.release(before - charge, false);
        }
    }
}
