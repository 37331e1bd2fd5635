package rillyard.proxy.dispatch;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Schedules the timers of one request and of its attempts. While the body of the request is still being received, those
 * of the request itself are deferred until its last byte.
 */
final class ExchangeTimers {
    private record DeferredTimer(double delayMillis, Runnable action) {}

    private final BalancerDriver driver;
    private final ClientRequest request;
    private final Consumer<Throwable> failureHandler;
    private final List<Future<?>> timers = new ArrayList<>(2);
    private List<DeferredTimer> deferred;

    /** Creates an object without timers; {@code failureHandler} gets what the actions throw. */
    ExchangeTimers(BalancerDriver driver, ClientRequest request, Consumer<Throwable> failureHandler) {
        this.driver = driver;
        this.request = request;
        this.failureHandler = failureHandler;
    }

    /** Runs {@code action} after the delay unless the timers are cancelled by then. */
    void schedule(double delayMillis, Runnable action) {
        if (!request.isUploadIncomplete()) {
            timers.add(startNow(delayMillis, action));
            return;
        }
        if (deferred == null) {
            deferred = new ArrayList<>(2);
        }
        deferred.add(new DeferredTimer(delayMillis, action));
    }

    /** Runs {@code action} after the delay from now, even if the body is incomplete; the caller cancels the timer. */
    Future<?> startNow(double delayMillis, Runnable action) {
        return driver.schedule(delayMillis, action, failureHandler);
    }

    /** Starts the deferred timers, as the request is complete. */
    void startDeferred() {
        List<DeferredTimer> starting = deferred;
        deferred = null;
        if (starting != null) {
            for (DeferredTimer timer : starting) {
                schedule(timer.delayMillis(), timer.action());
            }
        }
    }

    /** Drops the deferred timers. */
    void dropDeferred() {
        deferred = null;
    }

    /** Cancels the timers of the request that have been started. */
    void cancelAll() {
        for (int i = 0; i < timers.size(); i++) {
            timers.get(i).cancel(false);
        }
        timers.clear();
    }
}
