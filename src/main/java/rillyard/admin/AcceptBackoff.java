package rillyard.admin;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Suspends the accepts of a server channel for some ms after one has failed; counts failures and logs one in many.
 *
 * <p>It precedes Netty's acceptor in the pipeline, which would log each failure with its stack trace and pause for a
 * second. Confined to the event loop of its channel.
 */
public class AcceptBackoff extends ChannelInboundHandlerAdapter {
    /** Time (ms) without accepts after a failed one, so that a lasting failure doesn't use up the CPU. */
    private static final long BACKOFF_MILLIS = 5;

    /** Number of failed accepts for which one log line is written. */
    private static final int FAILURES_PER_LOG_LINE = 100;

    private final String subject;
    private final Consumer<String> log;
    private ChannelHandlerContext context;
    private boolean isBackingOff;
    private long failureCount;

    /**
     * Creates a handler for one channel.
     *
     * @param subject the start of the log lines
     * @param log receives the log lines
     */
    public AcceptBackoff(String subject, Consumer<String> log) {
        this.subject = subject;
        this.log = log;
    }

    @Override
    public final void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Returns the context of this handler, or null before it was added to its channel. */
    protected final ChannelHandlerContext context() {
        return context;
    }

    /** Returns whether connections may be accepted if no accept has just failed. */
    protected boolean mayAccept() {
        return true;
    }

    /** Resumes or suspends accepting, as {@link #mayAccept} and the last failure require. */
    public final void update() {
        if (context != null && context.channel().isOpen()) {
            context.channel().config().setAutoRead(!isBackingOff && mayAccept());
        }
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        onAcceptFailed(cause);
        if (!isBackingOff) {
            isBackingOff = true;
            update();
            ctx.executor().schedule(this::endBackoff, BACKOFF_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Counts a failed accept, whose cause is an {@link IOException} or an internal error. */
    public void onAcceptFailed(Throwable cause) {
        if (failureCount++ % FAILURES_PER_LOG_LINE == 0) {
            log.accept(subject + ": accept failed, count=" + failureCount + " cause=" + cause);
        }
    }

    private void endBackoff() {
        isBackingOff = false;
        update();
    }
}
