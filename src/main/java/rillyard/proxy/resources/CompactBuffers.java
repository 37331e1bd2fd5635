package rillyard.proxy.resources;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;

/** Keeps input that is held for a while from keeping much larger read buffers alive. */
public final class CompactBuffers {
    /** Size up to which an allocator does not make a copy smaller. */
    private static final int MIN_COPIED_CAPACITY = 1_024;

    private CompactBuffers() {}

    /**
     * Returns the readable bytes in a buffer of about their size.
     *
     * @param bytes the caller's reference, which is taken over
     */
    public static ByteBuf compact(ByteBuf bytes, ByteBufAllocator allocator) {
        int size = bytes.readableBytes();
        int capacity =
                bytes.unwrap() == null ? bytes.capacity() : bytes.unwrap().capacity();
        if (capacity <= MIN_COPIED_CAPACITY || size >= capacity / 2) {
            return bytes;
        }
        try {
            return allocator.directBuffer(Math.max(1, size)).writeBytes(bytes);
        } finally {
            bytes.release();
        }
    }
}
