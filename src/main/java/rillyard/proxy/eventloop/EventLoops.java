package rillyard.proxy.eventloop;

import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.ThreadFactory;

/** Creates event loop groups of one loop, which runs on its own daemon thread. */
public final class EventLoops {
    private EventLoops() {}

    /** Creates a group. */
    public static MultiThreadIoEventLoopGroup newGroup(IoHandlerFactory ioHandlers) {
        return newGroup(ioHandlers, () -> {});
    }

    /**
     * Creates a group.
     *
     * @param onEnd runs on the loop's thread when it ends, whether the group was shut down or an {@link Error} was
     *     thrown that no handler has caught
     */
    public static MultiThreadIoEventLoopGroup newGroup(IoHandlerFactory ioHandlers, Runnable onEnd) {
        ThreadFactory threads = new DefaultThreadFactory("loop", true);
        ThreadFactory reportingThreads = loop -> threads.newThread(() -> run(loop, onEnd));
        return new MultiThreadIoEventLoopGroup(1, reportingThreads, ioHandlers);
    }

    private static void run(Runnable loop, Runnable onEnd) {
        try {
            loop.run();
        } finally {
            onEnd.run();
        }
    }
}
