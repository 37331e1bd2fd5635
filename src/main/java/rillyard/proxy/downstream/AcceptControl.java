package rillyard.proxy.downstream;

import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import rillyard.admin.AcceptBackoff;
import rillyard.proxy.eventloop.GuardedTimer;
import rillyard.proxy.eventloop.PeekableSocketChannel;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.resources.DescriptorBudget;
import rillyard.stall.StallDetector;

/**
 * Pauses the accepts of the server channel while connections in use take all descriptors, and for some ms after an
 * accept has failed.
 *
 * <p>The kernel goes on establishing connections in the backlog meanwhile, whose clients may have sent requests. They
 * are closed unread once they may have waited for {@link #MAX_BACKLOG_WAIT_MILLIS}, as their clients would otherwise
 * wait past their timeouts. Confined to the event loop.
 */
final class AcceptControl extends AcceptBackoff {
    private static final String SUBJECT = "listener";

    /** Longest pause; shorter than the timeouts of clients, which may also wait for a response. */
    private static final long MAX_BACKLOG_WAIT_MILLIS = 250;

    /** Most connections that are closed at once; the backlog holds no more. */
    private static final int MAX_CLOSED_AT_ONCE = ClientListener.BACKLOG;

    private final DescriptorBudget descriptors;
    private final StallDetector stallDetector;
    private final ProxyLog log;
    private boolean isPaused;
    private long pausedSinceNanos;
    private Future<?> pauseTimer;
    private long closedCount;

    AcceptControl(DescriptorBudget descriptors, StallDetector stallDetector, ProxyLog log) {
        super(SUBJECT, log::info);
        this.descriptors = descriptors;
        this.stallDetector = stallDetector;
        this.log = log;
    }

    @Override
    protected boolean mayAccept() {
        return !isPaused;
    }

    /** Pauses or resumes accepting, as the use of descriptors requires. */
    void onDescriptorsChanged() {
        boolean isFull = descriptors.isFull();
        if (isFull == isPaused || context() == null) {
            return;
        }
        isPaused = isFull;
        if (isPaused) {
            pausedSinceNanos = System.nanoTime();
            startPauseTimer();
        } else {
            pauseTimer.cancel(false);
            stallDetector.onAcceptsResumed(pausedSinceNanos);
        }
        update();
    }

    private void startPauseTimer() {
        pauseTimer = GuardedTimer.schedule(
                context().channel().eventLoop(),
                TimeUnit.MILLISECONDS.toNanos(MAX_BACKLOG_WAIT_MILLIS),
                this::closeWaiting,
                cause -> log.error(SUBJECT + ": timer failed", cause));
    }

    /** Closes the connections in the backlog unread, as they may have waited too long; the pause goes on. */
    private void closeWaiting() {
        PeekableSocketChannel.Server channel =
                (PeekableSocketChannel.Server) context().channel();
        if (!channel.isOpen()) {
            return; // the proxy drains
        }
        startPauseTimer();
        pausedSinceNanos = System.nanoTime();
        try {
            int closed = channel.closePending(MAX_CLOSED_AT_ONCE);
            closedCount += closed;
            if (closed > 0) {
                log.info(SUBJECT + ": connections closed unread, reason=descriptors count=" + closed + " total="
                        + closedCount);
            }
        } catch (IOException e) {
            onAcceptFailed(e);
        }
    }

    @Override
    public void onAcceptFailed(Throwable cause) {
        if (cause instanceof IOException) {
            super.onAcceptFailed(cause);
        } else {
            log.error(SUBJECT + ": accept failed", cause);
        }
    }
}
