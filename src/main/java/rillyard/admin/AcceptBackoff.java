package rillyard.admin;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Has a server channel accept again some ms after an accept has failed; counts the failures and logs one in many.
 *
 * <p>It stands ahead of Netty's acceptor, which would log each failure with its stack trace and pause for a second.
 * Confined to the event loop of its channel.
 */
public class AcceptBackoff extends ChannelInboundHandlerAdapter {
    /** Milliseconds without an accept after one that failed, so that a lasting failure does not use up the processor. */
    private static final long BACKOFF_MILLIS = 5;

    /** One log line is written for so many accepts that failed. */
    private static final int FAILURES_PER_LOG_LINE = 100;

    private final String subject;
    private final Consumer<String> log;
    private ChannelHandlerContext context;
    private boolean isBackingOff;
    private long failures;

    /**
     * Creates a handler for one channel.
     *
     * @param subject with which log lines begin
     * @param log gets the lines
     */
    public AcceptBackoff(String subject, Consumer<String> log) {
        this.subject = subject;
        this.log = log;
    }

    @Override
    public final void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** Returns whether there is no other reason not to accept. */
    protected boolean mayAccept() {
        return true;
    }

    /** Accepts from now on, or not, as {@link #mayAccept} and the last failure allow. */
    public final void update() {
        if (context.channel().isOpen()) {
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

    /** Counts an accept that failed: with an {@link IOException}, or by a fault of the program. */
    public void onAcceptFailed(Throwable cause) {
        if (failures++ % FAILURES_PER_LOG_LINE == 0) {
            log.accept(subject + ": accept failed, count=" + failures + " cause=" + cause);
        }
    }

    private void endBackoff() {
        isBackingOff = false;
        update();
    }
}
