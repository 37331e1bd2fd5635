package rillyard.proxy.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/** Passes the events of a channel to its {@link UpstreamConnection}; an exception there ends the current call. */
final class UpstreamChannelHandler extends ChannelInboundHandlerAdapter {
    private final UpstreamConnection connection;
    private final ResponseReader reader;
    private final ResponseStallCheck stallCheck;

    UpstreamChannelHandler(UpstreamConnection connection, ResponseReader reader, ResponseStallCheck stallCheck) {
        this.connection = connection;
        this.reader = reader;
        this.stallCheck = stallCheck;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        UpstreamCall receiver = connection.call();
        try {
            reader.read((HttpObject) msg);
        } catch (RuntimeException | Error e) {
            connection.onHandlerFailed(receiver, e);
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        UpstreamCall receiver = connection.call();
        try {
            connection.onReadComplete();
        } catch (RuntimeException | Error e) {
            connection.onHandlerFailed(receiver, e);
        }
        stallCheck.onReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        connection.onWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        connection.onClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            connection.fail();
        } else if (cause instanceof DecoderException) {
            connection.onMalformedResponse(cause);
        } else {
            connection.onHandlerFailed(cause);
        }
    }
}
