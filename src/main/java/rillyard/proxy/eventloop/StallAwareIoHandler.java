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
 * An NIO handler that reports the start and end of each selector poll to a {@link StallDetector}.
 *
 * <p>After a stall of the loop or of its process the listener is called between the poll and the reads, so that
 * requests past their deadline are ended before new input is read. Confined to its event loop.
 */
public final class StallAwareIoHandler implements IoHandler {
    /** Delay beyond which a turn is reported as late; a shorter stall is noticed by the tasks of the turn in time. */
    private static final long MIN_REPORTED_NANOS = 20_000_000L;

    private final IoHandler delegate;
    private final StallDetector stallDetector;
    private final LongConsumer stallListener;
    private final PollContext pollContext = new PollContext();

    private StallAwareIoHandler(IoHandler delegate, StallDetector stallDetector, LongConsumer stallListener) {
        this.delegate = delegate;
        this.stallDetector = stallDetector;
        this.stallListener = stallListener;
    }

    /**
     * Returns a factory for the handler of one event loop.
     *
     * @param stallDetector used by that loop alone
     * @param stallListener receives the nanoseconds by which a turn is late, before the turn reads anything
     */
    public static IoHandlerFactory factory(StallDetector stallDetector, LongConsumer stallListener) {
        IoHandlerFactory nio = NioIoHandler.newFactory();
        return executor -> new StallAwareIoHandler(nio.newHandler(executor), stallDetector, stallListener);
    }

    @Override
    public int run(IoHandlerContext context) {
        long nowNanos = System.nanoTime();
        stallDetector.beforePoll(nowNanos, context.canBlock() ? nowNanos + context.delayNanos(nowNanos) : nowNanos);
        pollContext.context = context;
        int handled = delegate.run(pollContext);
        if (handled == 0) {
            stallDetector.onEmptyPoll();
        }
        return handled;
    }

    private void onPolled() {
        stallDetector.afterPoll(System.nanoTime());
        if (stallDetector.lateNanos() > MIN_REPORTED_NANOS) {
            stallListener.accept(stallDetector.lateNanos());
        }
    }

    /**
     * A context that detects the end of the poll.
     *
     * <p>Netty calls {@link #shouldReportActiveIoTime} between the poll and its reads, which is the only hook at that
     * point (NioIoHandler.run; a test relies on it).
     */
    private final class PollContext implements IoHandlerContext {
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
            onPolled();
            return context.shouldReportActiveIoTime();
        }
    }

    @Override
    public void initialize() {
        delegate.initialize();
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return delegate.isCompatible(type);
    }
}
