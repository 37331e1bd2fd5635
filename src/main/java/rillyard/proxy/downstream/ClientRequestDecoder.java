package rillyard.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.resources.ConnectionLimits;

/**
 * Parses the bytes of a client connection into requests, and knows whether and since when a request is being received.
 *
 * <p>Bytes that are sent ahead of their turn go to the {@link PipelineBuffer} unparsed.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {
    /** The most that is read of input that is discarded. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    private final PipelineBuffer pipelineBuffer;
    private ChannelHandlerContext context;
    private boolean receiving;
    private boolean discardingInput;
    private int discardedBytes;
    private long lastReadNanos;
    private long receivingSinceNanos;

    ClientRequestDecoder(PipelineBuffer pipelineBuffer) {
        super(ConnectionLimits.DECODER_CONFIG);
        this.pipelineBuffer = pipelineBuffer;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        pipelineBuffer.releaseBytes();
        super.channelInactive(ctx);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
        receiving = true;
        lastReadNanos = System.nanoTime();
        if (discardingInput) {
            discard(ctx, (ByteBuf) msg);
            return;
        }
        ByteBuf read = ((PeekableSocketChannel) ctx.channel()).prependPeekedByte((ByteBuf) msg);
        if (!pipelineBuffer.isHoldingBytes()) {
            super.channelRead(ctx, read);
        } else if (pipelineBuffer.addBytes(read)) {
            ctx.channel().config().setAutoRead(false);
        }
    }

    /** Discards without parsing, which would cost the loop time for input that nobody uses. */
    private void discard(ChannelHandlerContext ctx, ByteBuf read) {
        discardedBytes += read.readableBytes();
        read.release();
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            ctx.close();
        }
    }

    /** From here on all input is discarded. */
    void discardInput() {
        discardingInput = true;
    }

    /** From here on input is held unparsed, up to a bound, so that the connection's end is still seen. */
    void holdInput() {
        pipelineBuffer.holdBytes(context.alloc());
    }

    /** Parses the oldest of what was held; what is read from here on is parsed once nothing is held any more. */
    void releaseHeldInput() {
        ByteBuf held = pipelineBuffer.takeBytes();
        if (held == null || discardingInput) {
            ReferenceCountUtil.release(held);
            return;
        }
        try {
            super.channelRead(context, held);
            super.channelReadComplete(context);
        } catch (Exception e) {
            context.fireExceptionCaught(e);
        }
    }

    /** Returns whether part of a request has been received that is not complete. */
    boolean isReceiving() {
        return receiving;
    }

    /** Counts a byte that a look at the socket has read as the start of a request. */
    void checkHeldByte() {
        receiving |= ((PeekableSocketChannel) context.channel()).hasPeekedByte();
    }

    /** The request being received is complete. */
    void onRequestComplete() {
        receiving = actualReadableBytes() > 0 || pipelineBuffer.hasBytes();
        receivingSinceNanos = 0;
    }

    /** Returns when the last bytes were read, or when reading was resumed after a pause that the host caused. */
    long lastReadNanos() {
        return lastReadNanos;
    }

    void resetLastRead() {
        lastReadNanos = System.nanoTime();
    }

    /** Returns since when the request is being received, 0 if unknown or if the proxy itself has delayed it. */
    long receivingSinceNanos() {
        return receivingSinceNanos;
    }

    void startReceiveTimer(long nowNanos) {
        if (receiving && receivingSinceNanos == 0) {
            receivingSinceNanos = nowNanos;
        }
    }

    void restartReceiveTimer() {
        receivingSinceNanos = System.nanoTime();
    }

    void clearReceiveTimer() {
        receivingSinceNanos = 0;
    }

    /** Rejects a request that could hide another one in its body (RFC 9112, 6.1). */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
