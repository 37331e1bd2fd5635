package rillyard.proxy.resources;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpDecoderConfig;

/** Bounds on the memory of one connection, on either side of the proxy. */
public final class ConnectionLimits {
    /** Allocator of read buffers; small reads bound the memory of one connection. */
    public static final AdaptiveRecvByteBufAllocator READ_BUFFER_ALLOCATOR =
            new AdaptiveRecvByteBufAllocator(512, 2048, 16_384);

    /** As {@link #READ_BUFFER_ALLOCATOR}, for clients, each of which gets a small share of the event loop's time. */
    public static final AdaptiveRecvByteBufAllocator CLIENT_READ_BUFFER_ALLOCATOR =
            new AdaptiveRecvByteBufAllocator(512, 2048, 16_384);

    /** Most reads of a client's connection in a turn of the event loop. */
    private static final int MAX_CLIENT_READS_PER_TURN = 2;

    static {
        CLIENT_READ_BUFFER_ALLOCATOR.maxMessagesPerRead(MAX_CLIENT_READS_PER_TURN);
    }

    /** Water marks of the write buffer (bytes); they bound the memory of one connection. */
    public static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK = new WriteBufferWaterMark(16_384, 32_768);

    private static final HttpDecoderConfig DECODER_CONFIG = new HttpDecoderConfig()
            .setMaxInitialLineLength(8_192)
            .setMaxHeaderSize(16_384)
            .setMaxChunkSize(16_384)
            .setInitialBufferSize(256)
            .setTrailersFactory(new DiscardedTrailers.Factory());

    private ConnectionLimits() {}

    /**
     * Returns the limits of the HTTP decoder of one connection on either side of the proxy.
     *
     * @param headerMemory account that is charged with the header sections
     */
    public static HttpDecoderConfig decoderConfig(HeaderMemoryAccount headerMemory) {
        return DECODER_CONFIG.clone().setHeadersFactory(headerMemory);
    }
}
