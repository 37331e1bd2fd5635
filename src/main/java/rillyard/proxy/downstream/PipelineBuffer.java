package rillyard.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import rillyard.proxy.resources.BodyMemoryBudget;
import rillyard.proxy.resources.CompactBuffers;

/**
 * Holds pipelined input, which a client sends before the response to its current request: the one or two parts that were
 * parsed before the end of the current request was known, and behind them unparsed bytes, each with the time since when
 * it may have been sent.
 *
 * <p>Input is read to its end even where it can't be held, because only so is a close behind it noticed. Once some has
 * been discarded the buffer has overflowed, for good: no request follows those that it holds.
 *
 * <p>Nothing is allocated for a connection that does not pipeline. Held bytes beyond {@link #UNCHARGED_BYTES} are
 * charged to the memory budget of bodies.
 */
final class PipelineBuffer {
    /**
     * Bytes that were read together.
     *
     * @param bytes the bytes, with a reference
     * @param sentSinceNanos the time ({@link System#nanoTime}) since when they may have been sent
     */
    record HeldInput(ByteBuf bytes, long sentSinceNanos) {}

    /** Number of bytes that are held at most; what a client sends behind them is discarded. */
    private static final int MAX_BYTES = 2 * 1024 * 1024;

    /** Number of bytes that are held without being charged to the memory budget of bodies. */
    private static final int UNCHARGED_BYTES = 4 * 1024;

    /** Bytes of the objects that hold one piece of input. */
    private static final int PIECE_BYTES = 256;

    /** Size up to which pieces are gathered in one, and the size of that. */
    private static final int MAX_GATHERED_PIECE_BYTES = 2 * 1024;

    private static final int GATHERED_BYTES = 16 * 1024;

    /** Longest difference in time of pieces that are gathered, all of which get the time of the first. */
    private static final long MAX_GATHERED_NANOS = 5_000_000L;

    private final BodyMemoryBudget memory;
    private ArrayDeque<HttpObject> parts;
    private long partsSentSinceNanos;
    /** Null unless bytes are held. */
    private ArrayDeque<HeldInput> pieces;

    private int heldBytes;
    private int chargedBytes;
    private long discardedBytes;

    /** Creates an empty buffer that is charged to the memory budget of bodies. */
    PipelineBuffer(BodyMemoryBudget memory) {
        this.memory = memory;
    }

    /** Appends a parsed part, sent since the given time at the earliest; the buffer takes over its reference. */
    void addPart(HttpObject part, long sentSinceNanos) {
        if (parts == null) {
            parts = new ArrayDeque<>(2);
        }
        if (parts.isEmpty()) {
            partsSentSinceNanos = sentSinceNanos;
        }
        parts.add(part);
    }

    boolean hasParts() {
        return parts != null && !parts.isEmpty();
    }

    /** Returns since when the parts may have been sent. */
    long partsSentSinceNanos() {
        return partsSentSinceNanos;
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
    void holdBytes() {
        if (pieces == null) {
            pieces = new ArrayDeque<>(2);
        }
    }

    boolean isHoldingBytes() {
        return pieces != null;
    }

    boolean hasBytes() {
        return heldBytes > 0;
    }

    /** Appends bytes, or discards them if the buffer is full or has overflowed; takes over the caller's reference. */
    void addBytes(ByteBuf read, long sentSinceNanos, ByteBufAllocator allocator) {
        if (hasOverflowed() || isFull()) {
            discardedBytes += read.readableBytes();
            read.release();
            return;
        }
        if (read.readableBytes() > MAX_GATHERED_PIECE_BYTES) {
            addPiece(CompactBuffers.compact(read, allocator), sentSinceNanos);
        } else {
            gather(read, sentSinceNanos, allocator);
        }
        chargeHeldBytes();
    }

    /** Puts bytes before all others, as what was parsed before them is held; takes over the caller's reference. */
    void addFirstBytes(ByteBuf rest, long sentSinceNanos, ByteBufAllocator allocator) {
        ByteBuf compact = CompactBuffers.compact(rest, allocator);
        pieces.addFirst(new HeldInput(compact, sentSinceNanos));
        heldBytes += usedBytes(compact);
        chargeHeldBytes();
    }

    private void addPiece(ByteBuf bytes, long sentSinceNanos) {
        pieces.add(new HeldInput(bytes, sentSinceNanos));
        heldBytes += usedBytes(bytes);
    }

    private void gather(ByteBuf read, long sentSinceNanos, ByteBufAllocator allocator) {
        HeldInput last = pieces.peekLast();
        boolean fits = last != null
                && last.bytes().maxCapacity() == GATHERED_BYTES
                && last.bytes().maxWritableBytes() >= read.readableBytes()
                && sentSinceNanos - last.sentSinceNanos() < MAX_GATHERED_NANOS;
        if (fits) {
            heldBytes += read.readableBytes();
            last.bytes().writeBytes(read);
        } else {
            addPiece(
                    allocator.directBuffer(read.readableBytes(), GATHERED_BYTES).writeBytes(read), sentSinceNanos);
        }
        read.release();
    }

    private boolean isFull() {
        return heldBytes >= MAX_BYTES || (heldBytes >= UNCHARGED_BYTES && memory.isExhausted(MAX_BYTES));
    }

    /** Returns whether input has been discarded. */
    boolean hasOverflowed() {
        return discardedBytes > 0;
    }

    /** Returns the number of bytes that have been discarded. */
    long discardedBytes() {
        return discardedBytes;
    }

    private static int usedBytes(ByteBuf bytes) {
        return bytes.readableBytes() + PIECE_BYTES;
    }

    /**
     * Removes and returns the oldest bytes with their reference, or returns null if the buffer does not hold bytes. It
     * stops holding them with the last ones.
     */
    HeldInput takeBytes() {
        HeldInput taken = pieces == null ? null : pieces.poll();
        if (pieces != null && pieces.isEmpty()) {
            pieces = null;
        }
        if (taken != null) {
            heldBytes -= usedBytes(taken.bytes());
            chargeHeldBytes();
        }
        return taken;
    }

    void releaseBytes() {
        HeldInput held;
        while ((held = takeBytes()) != null) {
            held.bytes().release();
        }
    }

    private void chargeHeldBytes() {
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
