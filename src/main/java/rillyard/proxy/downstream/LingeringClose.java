package rillyard.proxy.downstream;

import java.util.concurrent.TimeUnit;
import rillyard.proxy.eventloop.PeekableSocketChannel;

/**
 * Closes a connection without a reset that could overtake its last response.
 *
 * <p>A close while bytes are unread sends a reset, so the output is shut down first, and input is read and discarded
 * for a while. A request among it is sent nowhere: its client sees the end before any response, and asks elsewhere.
 */
final class LingeringClose {
    /** How long (ms) input is still read. */
    private static final long LINGER_MILLIS = 500;

    private LingeringClose() {}

    /** Shuts the output down and closes the channel later; the caller discards what is read until then. */
    static void start(PeekableSocketChannel channel) {
        channel.shutdownOutput();
        channel.config().setAutoRead(true);
        channel.eventLoop().schedule(channel::shutdownOutputAndDrain, LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }
}
