package rillyard.proxy.upstream;

import io.netty.channel.Channel;
import rillyard.proxy.eventloop.GuardedTimer;

/**
 * Detects a response that has stopped half way on an open connection, so that its attempt ends long before the
 * deadline.
 *
 * <p>One object serves all calls of a connection, one after the other; confined to its event loop.
 */
final class ResponseStallCheck {
    /** Lateness of a timer beyond which the event loop is behind, so that it may not have read what has arrived. */
    private static final long LATE_TIMER_NANOS = 10_000_000L;

    private final UpstreamConnection connection;
    private final Channel channel;
    private boolean isScheduled;

    ResponseStallCheck(UpstreamConnection connection, Channel channel) {
        this.connection = connection;
        this.channel = channel;
    }

    /** Starts the check, if a response has begun: all bytes that had arrived have been read. */
    void onReadComplete() {
        if (!isScheduled && connection.isAwaitingProgress()) {
            schedule(connection.stalledAtNanos() - System.nanoTime());
        }
    }

    private void schedule(long delayNanos) {
        isScheduled = true;
        long dueAtNanos = System.nanoTime() + delayNanos;
        GuardedTimer.schedule(channel.eventLoop(), delayNanos, () -> check(dueAtNanos), connection::onHandlerFailed);
    }

    private void check(long dueAtNanos) {
        isScheduled = false;
        if (!connection.isAwaitingProgress()) {
            return;
        }
        long nowNanos = System.nanoTime();
        long remainingNanos = connection.stalledAtNanos() - nowNanos;
        if (remainingNanos > 0) {
            schedule(remainingNanos);
        } else if (nowNanos - dueAtNanos > LATE_TIMER_NANOS) {
            schedule(LATE_TIMER_NANOS); // the loop was late: pending reads come first
        } else {
            connection.onResponseStalled();
        }
    }
}
