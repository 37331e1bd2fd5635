package rillyard.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.resources.ConnectionLimits;
import rillyard.proxy.resources.HeaderMemoryAccount;
import rillyard.proxy.resources.ReceivedHeaders;

/**
 * Parses the bytes of a client connection into requests, and tracks whether and since when one is being received.
 *
 * <p>Pipelined bytes are stored unparsed in the {@link PipelineBuffer}.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {
    /** Number of discarded bytes beyond which the connection is closed. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    /** Number of discarded pipelined bytes beyond which the connection is closed. */
    private static final long MAX_DISCARDED_PIPELINED_BYTES = 64L << 20;

    private final PipelineBuffer pipelineBuffer;
    private final HeaderMemoryAccount headerMemory;
    private ChannelHandlerContext context;
    private boolean receiving;
    private boolean discardingInput;
    private boolean isHoldingRest;
    private int discardedBytes;
    private long lastReadNanos;
    private long receivingSinceNanos;
    private long inputSentSinceNanos;
    private long waitedBeforeReceivingNanos;

    /** Creates a decoder whose header sections are charged to {@code headerMemory}. */
    ClientRequestDecoder(PipelineBuffer pipelineBuffer, HeaderMemoryAccount headerMemory) {
        super(ConnectionLimits.decoderConfig(headerMemory));
        this.pipelineBuffer = pipelineBuffer;
        this.headerMemory = headerMemory;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        pipelineBuffer.releaseBytes();
        super.channelInactive(ctx);
        headerMemory.release();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
        PeekableSocketChannel channel = (PeekableSocketChannel) ctx.channel();
        channel.recordRead();
        boolean isTimed = receiving && receivingSinceNanos != 0;
        receiving = true;
        lastReadNanos = System.nanoTime();
        startReceiveTimer(lastReadNanos);
        if (!isTimed) {
            waitedBeforeReceivingNanos = lastReadNanos - channel.sentSinceNanos();
        }
        if (discardingInput) {
            discard(ctx, (ByteBuf) msg);
            return;
        }
        ByteBuf read = channel.prependPeekedByte((ByteBuf) msg);
        if (!pipelineBuffer.isHoldingBytes() && !pipelineBuffer.hasOverflowed()) {
            inputSentSinceNanos = channel.sentSinceNanos();
            isHoldingRest = false;
            super.channelRead(ctx, read);
            return;
        }
        pipelineBuffer.addBytes(read, channel.sentSinceNanos(), ctx.alloc());
        if (pipelineBuffer.discardedBytes() > MAX_DISCARDED_PIPELINED_BYTES) {
            ctx.close();
        }
    }

    /**
     * Parses the next part, unless the part before it is held: the bytes behind that are held as they are, because
     * parsed parts take many times the memory of their bytes.
     */
    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (discardingInput) {
            buffer.skipBytes(buffer.readableBytes());
        } else if (isHoldingRest) {
            ByteBuf rest = buffer.readRetainedSlice(buffer.readableBytes());
            pipelineBuffer.addFirstBytes(rest, inputSentSinceNanos, ctx.alloc());
        } else {
            super.decode(ctx, buffer, out);
        }
    }

    /** Discards input without parsing it, which would take event loop time for nothing. */
    private void discard(ChannelHandlerContext ctx, ByteBuf read) {
        discardedBytes += read.readableBytes();
        read.release();
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            ctx.close();
        }
    }

    /** From now on discards all input. */
    void discardInput() {
        discardingInput = true;
        headerMemory.discard();
    }

    /**
     * From now on holds input unparsed, up to a limit, so that the end of the connection is still noticed; also the rest
     * of the input that is being parsed.
     */
    void holdInput() {
        isHoldingRest = true;
        pipelineBuffer.holdBytes();
    }

    /** Parses the oldest held input; input that is read later is parsed directly once nothing is held any more. */
    void releaseHeldInput() {
        PipelineBuffer.HeldInput held = pipelineBuffer.takeBytes();
        if (held == null) {
            return;
        }
        if (discardingInput) {
            held.bytes().release();
            return;
        }
        inputSentSinceNanos = held.sentSinceNanos();
        isHoldingRest = false;
        try {
            super.channelRead(context, held.bytes());
            super.channelReadComplete(context);
        } catch (Exception e) {
            context.fireExceptionCaught(e);
        }
    }

    /** Returns whether input has been read that is not parsed or handled yet. */
    boolean hasHeldInput() {
        return pipelineBuffer.hasParts() || pipelineBuffer.hasBytes();
    }

    /** Returns whether a request has been received in part. */
    boolean isReceiving() {
        return receiving;
    }

    /** Counts a byte that was peeked from the socket as the start of a request. */
    void checkPeekedByte() {
        receiving |= ((PeekableSocketChannel) context.channel()).hasPeekedByte();
    }

    /** Records that the request that was being received is complete. */
    void onRequestComplete() {
        receiving = actualReadableBytes() > 0 || pipelineBuffer.hasBytes();
        clearReceiveTimer();
    }

    /** Returns when the last bytes were read, or when reading was resumed after a pause that the host caused. */
    long lastReadNanos() {
        return lastReadNanos;
    }

    void resetLastRead() {
        lastReadNanos = System.nanoTime();
    }

    /** Returns since when the request is being received, or 0 if unknown or if the proxy itself has delayed it. */
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
        waitedBeforeReceivingNanos = 0;
    }

    void clearReceiveTimer() {
        receivingSinceNanos = 0;
        waitedBeforeReceivingNanos = 0;
    }

    /** Returns for how long the first bytes of the request may have waited before {@link #receivingSinceNanos}. */
    long waitedBeforeReceivingNanos() {
        return waitedBeforeReceivingNanos;
    }

    /** Returns since when ({@link System#nanoTime}) the input that is being parsed may have been sent. */
    long inputSentSinceNanos() {
        return inputSentSinceNanos;
    }

    /** Sets since when the input that is handled now, which was parsed before, may have been sent. */
    void setInputSentSinceNanos(long sentSinceNanos) {
        inputSentSinceNanos = sentSinceNanos;
    }

    @Override
    protected HttpMessage createMessage(String[] startLine) throws Exception {
        HttpMessage message = super.createMessage(startLine);
        ReceivedHeaders.chargeStartLine(message.headers(), startLine[1].length());
        return message;
    }

    /** Rejects a request whose length is ambiguous, so that its body could hide another request (RFC 9112, 6.1). */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
