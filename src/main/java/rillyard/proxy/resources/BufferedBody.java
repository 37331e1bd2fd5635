package rillyard.proxy.resources;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.ArrayList;
import java.util.List;

/**
 * A body that is buffered in memory and charged to the {@link BodyMemoryBudget}.
 *
 * <p>Bytes are copied into the body's own blocks: when a body arrives slowly, slices of the read buffers would keep
 * whole read buffers alive for a few bytes each. Confined to the event loop.
 */
public final class BufferedBody {
    /** Bytes of the largest body that the protocol allows. */
    public static final long MAX_BYTES = 32 << 20;

    /** Bytes of the largest body that is buffered completely; a larger one is streamed. */
    public static final long MAX_BUFFERED_BYTES = 64 * 1024;

    private static final int BLOCK_BYTES = 16 * 1024;

    /** Initial capacity of a block, unless more bytes are there already or fewer will come. */
    private static final int INITIAL_BLOCK_BYTES = 512;

    private final BodyMemoryBudget budget;
    private final ByteBufAllocator allocator;
    private final List<ByteBuf> blocks = new ArrayList<>(1);
    private final long expectedBytes;
    private long size;
    private boolean isIncompleteRequest;

    /**
     * Creates an empty body.
     *
     * @param expectedBytes the announced length, or -1 if it is unknown
     * @param isIncompleteRequest whether the body belongs to a request that has not arrived completely
     */
    public BufferedBody(
            BodyMemoryBudget budget, ByteBufAllocator allocator, long expectedBytes, boolean isIncompleteRequest) {
        this.budget = budget;
        this.allocator = allocator;
        this.expectedBytes = expectedBytes;
        this.isIncompleteRequest = isIncompleteRequest;
    }

    /** Copies all readable bytes to the end of the body and charges them; does not release the argument. */
    public void append(ByteBuf bytes) {
        int count = bytes.readableBytes();
        budget.charge(count, isIncompleteRequest);
        size += count;
        while (bytes.isReadable()) {
            ByteBuf last = blocks.isEmpty() ? null : blocks.get(blocks.size() - 1);
            if (last == null || last.maxWritableBytes() == 0) {
                last = addBlock(bytes.readableBytes());
            }
            last.writeBytes(bytes, Math.min(bytes.readableBytes(), last.maxWritableBytes()));
        }
    }

    /**
     * Adds a block for {@code pending} bytes that have been counted in the size but not copied. It grows as the body
     * arrives: a length that is only announced takes no memory.
     */
    private ByteBuf addBlock(int pending) {
        long remaining = expectedBytes < 0 ? Long.MAX_VALUE : expectedBytes - (size - pending);
        long capacity = Math.max(pending, Math.min(INITIAL_BLOCK_BYTES, remaining));
        ByteBuf block = allocator.directBuffer((int) Math.min(BLOCK_BYTES, capacity), BLOCK_BYTES);
        blocks.add(block);
        return block;
    }

    /** Returns the number of bytes. */
    public long size() {
        return size;
    }

    /** Records that the request of this body has arrived completely. */
    public void markComplete() {
        if (isIncompleteRequest) {
            isIncompleteRequest = false;
            budget.onComplete(size);
        }
    }

    /** Returns duplicates of the blocks for one write, each retained; the caller releases them. */
    public List<ByteBuf> retainedBlocks() {
        List<ByteBuf> duplicates = new ArrayList<>(blocks.size());
        for (ByteBuf block : blocks) {
            duplicates.add(block.retainedDuplicate());
        }
        return duplicates;
    }

    /** Releases the blocks and returns their bytes to the budget; does nothing on a second call. */
    public void release() {
        for (ByteBuf block : blocks) {
            block.release();
        }
        blocks.clear();
        long freed = size;
        size = 0;
        if (freed > 0) {
            budget.release(freed, isIncompleteRequest);
        }
    }
}
