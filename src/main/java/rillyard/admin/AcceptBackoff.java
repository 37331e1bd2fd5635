package rillyard.admin;

import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Has the server channel of an admin address accept again some ms after an accept has failed.
 *
 * <p>It stands ahead of Netty's acceptor, which would log the failure with its stack trace and pause for a second.
 */
public final class AcceptBackoff extends ChannelInboundHandlerAdapter {
    /** Milliseconds without an accept after one that failed, so that a lasting failure does not use up the processor. */
    private static final long BACKOFF_MILLIS = 5;

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ChannelConfig config = ctx.channel().config();
        if (config.isAutoRead()) {
            config.setAutoRead(false);
            ctx.executor().schedule(() -> config.setAutoRead(true), BACKOFF_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
