package rillyard.proxy.eventloop;

import rillyard.stall.StallDetector;

/**
 * Creates the channels of a proxy's sockets; tests replace it to make system calls fail.
 *
 * <p>Called on the event loop.
 */
public class SocketChannelFactory {
    /**
     * Creates a channel for a connect.
     *
     * @throws io.netty.channel.ChannelException if the system has no socket for it
     */
    public PeekableSocketChannel newSocketChannel() {
        return new PeekableSocketChannel();
    }

    /** Creates an unbound server channel; the detector is that of its event loop. */
    public PeekableSocketChannel.Server newServerChannel(StallDetector stallDetector) {
        return new PeekableSocketChannel.Server(stallDetector);
    }
}
