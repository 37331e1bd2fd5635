package rillyard.scheduling;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** A {@link Scheduler} that uses a Netty event loop and the system's monotonic clock. Confined to the loop's thread. */
public final class EventLoopScheduler implements Scheduler {
    private final EventLoop loop;

    /** Creates a scheduler whose tasks run on the given loop. */
    public EventLoopScheduler(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public long now() {
        return System.nanoTime();
    }

    @Override
    public ScheduledTask scheduleAt(long atNanos, Runnable task) {
        Future<?> future = loop.schedule(task, Math.max(0, atNanos - now()), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }
}
