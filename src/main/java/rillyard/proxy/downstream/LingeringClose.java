package rillyard.proxy.downstream;

import java.util.concurrent.TimeUnit;
import rillyard.proxy.eventloop.PeekableSocketChannel;

/**
 * Closes a connection without a reset that could overtake its last response.
 *
 * <p>Closing a socket with unread bytes sends a reset, so the output is shut down first, and input is read and
 * discarded for {@link #LINGER_MILLIS}. A request in the discarded input is not forwarded: its client sees the end of
 * the connection without a response, and retries elsewhere.
 */
final class LingeringClose {
    /** Time for which input is read and discarded. */
    private static final long LINGER_MILLIS = 500;

    private LingeringClose() {}

    /** Shuts down the output and closes the channel later; the caller discards the input that is read until then. */
    static void start(PeekableSocketChannel channel) {
        channel.shutdownOutput();
        channel.resumeReading();
        channel.eventLoop().schedule(channel::shutdownOutputAndDrain, LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }
}
