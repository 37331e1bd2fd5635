package rillyard.proxy.downstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.resources.DescriptorBudget;

/**
 * Decides when the server channel accepts: not while no descriptor is left, nor for some ms after an accept has failed.
 *
 * <p>It stands ahead of Netty's acceptor, which would log each failure with its stack trace and pause for a second.
 * Confined to the event loop.
 */
final class AcceptControl extends ChannelInboundHandlerAdapter {
    /** Milliseconds without an accept after one that failed, so that a lasting failure does not use up the processor. */
    static final long BACKOFF_MILLIS = 5;

    /** One log line is written for so many accepts that failed. */
    private static final int FAILURES_PER_LOG_LINE = 100;

    private final DescriptorBudget descriptors;
    private final ProxyLog log;
    private ChannelHandlerContext context;
    private boolean isBackingOff;
    private long failures;

    AcceptControl(DescriptorBudget descriptors, ProxyLog log) {
        this.descriptors = descriptors;
        this.log = log;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Accepts from now on, or not, as the descriptors and the last failure allow. */
    void update() {
        if (context.channel().isOpen()) {
            context.channel().config().setAutoRead(!isBackingOff && !descriptors.isExhausted());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException failure) {
            onAcceptFailed(failure);
        } else {
            log.error("listener: accept failed", cause);
        }
        if (!isBackingOff) {
            isBackingOff = true;
            update();
            ctx.executor().schedule(this::endBackoff, BACKOFF_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Counts an accept that failed. */
    void onAcceptFailed(IOException cause) {
        if (failures++ % FAILURES_PER_LOG_LINE == 0) {
            log.info("listener: accept failed, count=" + failures + " cause=" + cause);
        }
    }

    private void endBackoff() {
        isBackingOff = false;
        update();
    }
}
