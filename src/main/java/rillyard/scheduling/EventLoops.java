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
 * Event loops with fine timers. The JDK's selector waits in whole milliseconds, which a schedule of
 * some thousand sends a second can't bear; epoll waits in nanoseconds. Elsewhere than on Linux the
 * selector has to do, and timers are up to a millisecond late.
 */
public final class EventLoops {
    private static final boolean EPOLL;

    static {
        // Prevents waits that are rounded to whole milliseconds past the default threshold.
        if (System.getProperty("io.netty.channel.epoll.epollWaitThreshold") == null) {
            System.setProperty("io.netty.channel.epoll.epollWaitThreshold", "1000000");
        }
        EPOLL = Epoll.isAvailable();
    }

    private EventLoops() {}

    /** So many loops, each on a daemon thread of its own. */
    public static EventLoopGroup group(int threads, String name) {
        IoHandlerFactory io = EPOLL ? EpollIoHandler.newFactory() : NioIoHandler.newFactory();
        return new MultiThreadIoEventLoopGroup(threads, new DefaultThreadFactory(name, true), io);
    }

    /** The kind of channel that listens on such loops. */
    public static Class<? extends ServerChannel> serverChannelType() {
        return EPOLL ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    /** The kind of channel that connects on such loops. */
    public static Class<? extends SocketChannel> clientChannelType() {
        return EPOLL ? EpollSocketChannel.class : NioSocketChannel.class;
    }
}
