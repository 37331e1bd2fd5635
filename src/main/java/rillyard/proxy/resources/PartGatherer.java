package rillyard.proxy.resources;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.util.ReferenceCountUtil;
import java.util.function.Consumer;

/**
 * Gathers small parts of a forwarded body, which are written together, as each write has its own cost in time and memory.
 *
 * <p>Parts are written in their order. Confined to the event loop.
 */
public final class PartGatherer {
    /** Size up to which parts are gathered. */
    private static final int MAX_GATHERED_PART_BYTES = 4 * 1024;

    private static final int GATHERED_BYTES = 16 * 1024;

    private final ByteBufAllocator allocator = PooledByteBufAllocator.DEFAULT;
    private final Consumer<ByteBuf> writer;
    /** Null if nothing is gathered. */
    private ByteBuf gathered;

    /** Creates a gatherer; {@code writer} writes a part and takes over its reference. */
    public PartGatherer(Consumer<ByteBuf> writer) {
        this.writer = writer;
    }

    /** Gathers a part, or writes it if it is large; the caller keeps its reference. */
    public void append(ByteBuf part) {
        if (part.readableBytes() > MAX_GATHERED_PART_BYTES) {
            flush();
            writer.accept(part.retain());
            return;
        }
        if (gathered != null && gathered.writableBytes() < part.readableBytes()) {
            flush();
        }
        if (gathered == null && part.isReadable()) {
            gathered = allocator.directBuffer(GATHERED_BYTES);
        }
        if (gathered != null) {
            gathered.writeBytes(part, part.readerIndex(), part.readableBytes());
        }
    }

    /** Writes what has been gathered. */
    public void flush() {
        if (gathered != null) {
            ByteBuf part = gathered;
            gathered = null;
            writer.accept(CompactBuffers.compact(part, allocator));
        }
    }

    /** Drops what has been gathered. */
    public void release() {
        ReferenceCountUtil.release(gathered);
        gathered = null;
    }
}
