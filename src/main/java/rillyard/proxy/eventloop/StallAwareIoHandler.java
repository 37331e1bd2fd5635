package rillyard.proxy.eventloop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import java.util.function.LongConsumer;
import rillyard.stall.StallDetector;

/**
 * The loop's way to its sockets, with a look at the clock on either side of its wait. Where the loop or
 * its process stood still, what is overdue is ended before anything new is read.
 */
public final class StallAwareIoHandler implements IoHandler {
    /** What is read later than this (ns) may be overdue; below it a turn's tasks find out soon enough. */
    private static final long LATE_NANOS = 20_000_000L;

    private final IoHandler sockets;
    private final StallDetector gaps;
    private final LongConsumer late;
    private final AfterLook afterLook = new AfterLook();

    private StallAwareIoHandler(IoHandler sockets, StallDetector gaps, LongConsumer late) {
        this.sockets = sockets;
        this.gaps = gaps;
        this.late = late;
    }

    /**
     * Makes it for one loop, which alone uses {@code gaps}.
     *
     * @param late told by how much (ns) a turn is late, before it reads anything
     */
    public static IoHandlerFactory factory(StallDetector gaps, LongConsumer late) {
        IoHandlerFactory nio = NioIoHandler.newFactory();
        return executor -> new StallAwareIoHandler(nio.newHandler(executor), gaps, late);
    }

    @Override
    public int run(IoHandlerContext context) {
        long now = System.nanoTime();
        gaps.beforePoll(now, context.canBlock() ? now + context.delayNanos(now) : now);
        afterLook.context = context;
        int handled = sockets.run(afterLook);
        if (handled == 0) {
            gaps.onEmptyPoll();
        }
        return handled;
    }

    /**
     * Netty asks between its wait and its reads whether the time of the reads is to be told: the one moment
     * at which the wait is over and nothing is read yet (NioIoHandler.run, held by a test).
     */
    private final class AfterLook implements IoHandlerContext {
        private IoHandlerContext context;

        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            return context.delayNanos(now);
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            context.reportActiveIoTime(nanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            gaps.afterPoll(System.nanoTime());
            if (gaps.lateNanos() > LATE_NANOS) {
                late.accept(gaps.lateNanos());
            }
            return context.shouldReportActiveIoTime();
        }
    }

    @Override
    public void initialize() {
        sockets.initialize();
    }

    @Override
    public void prepareToDestroy() {
        sockets.prepareToDestroy();
    }

    @Override
    public void destroy() {
        sockets.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return sockets.register(handle);
    }

    @Override
    public void wakeup() {
        sockets.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return sockets.isCompatible(type);
    }
}
