package rillyard.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.ReferenceCountUtil;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.upstream.UpstreamPool;

/**
 * Takes what a client sends apart into requests. Tells whether part of one has come, and holds back what was
 * sent ahead of its time.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {
    /** Bytes sent ahead of their time past which no more is read, so that the end behind them is not seen. */
    private static final int HELD_BYTES = 32 * 1024;

    private static final int HELD_PARTS = 64;

    /** The most that is read of what nobody will look at. */
    private static final int DISCARD_BYTES = 256 * 1024;

    /** Whether a part of a request has come that is not whole. */
    boolean receiving;

    /** When (ns) the last bytes came. */
    long readAt;

    /** From here on what comes is thrown away. */
    boolean deaf;

    private int discarded;
    private ChannelHandlerContext context;
    private CompositeByteBuf held;

    ClientRequestDecoder() {
        super(UpstreamPool.DECODER_CONFIG);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        dropHeld();
        super.channelInactive(ctx);
    }

    /** From here on what is read is held as it came, up to a bound: only the connection's end is looked for. */
    void hold() {
        if (held == null) {
            held = context.alloc().compositeBuffer(HELD_PARTS);
        }
    }

    /** Goes on with what was held. */
    void letGo() {
        CompositeByteBuf all = held;
        held = null;
        if (all == null || deaf) {
            ReferenceCountUtil.release(all);
            return;
        }
        try {
            super.channelRead(context, all);
            super.channelReadComplete(context);
        } catch (Exception e) {
            context.fireExceptionCaught(e);
        }
    }

    private void dropHeld() {
        ReferenceCountUtil.release(held);
        held = null;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
        receiving = true;
        readAt = System.nanoTime();
        if (deaf) {
            // Guards against the work of taking apart, at full speed, what nobody will look at.
            discarded += ((ByteBuf) msg).readableBytes();
            ReferenceCountUtil.release(msg);
            if (discarded > DISCARD_BYTES) {
                ctx.close();
            }
            return;
        }
        ByteBuf read = ((PeekableSocketChannel) ctx.channel()).prependPeekedByte((ByteBuf) msg);
        if (held != null) {
            held.addComponent(true, read);
            if (held.readableBytes() >= HELD_BYTES) {
                ctx.channel().config().setAutoRead(false);
            }
            return;
        }
        super.channelRead(ctx, read);
    }

    boolean surplus() {
        return actualReadableBytes() > 0 || (held != null && held.isReadable());
    }

    /** Guards against a request hidden in the body of another (RFC 9112, 6.1). */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    /** Whether what comes is held. */
    boolean holds() {
        return held != null;
    }
}
