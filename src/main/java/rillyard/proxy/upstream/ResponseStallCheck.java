package rillyard.proxy.upstream;

import io.netty.channel.Channel;
import rillyard.proxy.eventloop.GuardedTimer;

/**
 * Notices that a response has stopped half way on an open connection, as its client can know long before the deadline.
 *
 * <p>One serves all calls of a connection, one after the other; confined to its event loop.
 */
final class ResponseStallCheck {
    /** Delay of a timer beyond which the event loop is behind and has reads to catch up with. */
    private static final long LATE_TIMER_NANOS = 10_000_000L;

    private final UpstreamConnection connection;
    private final Channel channel;
    private final UpstreamResponseDecoder decoder;
    private boolean isScheduled;

    ResponseStallCheck(UpstreamConnection connection, Channel channel, UpstreamResponseDecoder decoder) {
        this.connection = connection;
        this.channel = channel;
        this.decoder = decoder;
    }

    /** All that had arrived has been read: from now on the host is awaited, if a response has begun. */
    void onReadComplete() {
        if (!isScheduled && connection.isAwaitingProgress()) {
            schedule(connection.stallNanos());
        }
    }

    private void schedule(long delayNanos) {
        isScheduled = true;
        long dueAt = System.nanoTime() + delayNanos;
        GuardedTimer.schedule(channel.eventLoop(), delayNanos, () -> check(dueAt), connection::onHandlerFailed);
    }

    private void check(long dueAt) {
        isScheduled = false;
        if (!connection.isAwaitingProgress()) {
            return;
        }
        long now = System.nanoTime();
        long remaining = decoder.lastReadNanos() + connection.stallNanos() - now;
        if (remaining > 0) {
            schedule(remaining);
        } else if (now - dueAt > LATE_TIMER_NANOS) {
            schedule(LATE_TIMER_NANOS); // the loop was late: what has arrived meanwhile is read first
        } else {
            connection.onResponseStalled();
        }
    }
}
