package rillyard.scheduling;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * Creates event loops with precise timers, and returns the channel types that run on them.
 *
 * <p>The JDK's selector waits in whole milliseconds, which is too coarse for several thousand scheduled sends per
 * second; epoll waits in nanoseconds. On platforms other than Linux the selector is used, and timers are up to one
 * millisecond late.
 */
public final class EventLoops {
    private static final boolean EPOLL;

    static {
        // Raises the threshold past which epoll waits would be rounded to whole milliseconds.
        if (System.getProperty("io.netty.channel.epoll.epollWaitThreshold") == null) {
            System.setProperty("io.netty.channel.epoll.epollWaitThreshold", "1000000");
        }
        EPOLL = Epoll.isAvailable();
    }

    private EventLoops() {}

    /**
     * Creates a group of event loops, each on its own daemon thread.
     *
     * @param threads number of loops, at least 1
     * @param name prefix of the threads' names
     */
    public static EventLoopGroup group(int threads, String name) {
        IoHandlerFactory io = EPOLL ? EpollIoHandler.newFactory() : NioIoHandler.newFactory();
        return new MultiThreadIoEventLoopGroup(threads, new DefaultThreadFactory(name, true), io);
    }

    /** Returns the server channel type for these loops. */
    public static Class<? extends ServerChannel> serverChannelType() {
        return EPOLL ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    /** Returns the client channel type for these loops. */
    public static Class<? extends SocketChannel> clientChannelType() {
        return EPOLL ? EpollSocketChannel.class : NioSocketChannel.class;
    }
}
