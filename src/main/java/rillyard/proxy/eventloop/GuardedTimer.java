package rillyard.proxy.eventloop;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A timer of the event loop that reports exceptions of its action. An exception of a task that is scheduled directly is
 * only kept in its future, which no code checks.
 */
public final class GuardedTimer implements Runnable {
    private final Runnable action;
    private final Consumer<Throwable> failureHandler;

    private GuardedTimer(Runnable action, Consumer<Throwable> failureHandler) {
        this.action = action;
        this.failureHandler = failureHandler;
    }

    /**
     * Runs {@code action} on the loop after a delay.
     *
     * @param delayNanos the delay; a negative one counts as 0
     * @param failureHandler receives what the action throws, on the loop
     * @return a future that cancels the timer
     */
    public static Future<?> schedule(
            EventExecutor loop, long delayNanos, Runnable action, Consumer<Throwable> failureHandler) {
        return loop.schedule(new GuardedTimer(action, failureHandler), Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
    }

    @Override
    public void run() {
        try {
            action.run();
        } catch (RuntimeException | Error e) {
            failureHandler.accept(e);
        }
    }
}
