package rillyard.proxy.dispatch;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/** Timers of one request; while its body is still being received, new ones start with the last byte. */
final class ExchangeTimers {
    private record DeferredTimer(double delayMillis, Runnable action) {}

    private final BalancerDriver driver;
    private final ClientRequest request;
    private final List<Future<?>> timers = new ArrayList<>(2);
    private List<DeferredTimer> deferred;

    ExchangeTimers(BalancerDriver driver, ClientRequest request) {
        this.driver = driver;
        this.request = request;
    }

    /** Runs {@code action} after the delay unless the timers are cancelled by then. */
    void schedule(double delayMillis, Runnable action) {
        if (!request.isUploadIncomplete()) {
            timers.add(driver.schedule(delayMillis, action));
            return;
        }
        if (deferred == null) {
            deferred = new ArrayList<>(2);
        }
        deferred.add(new DeferredTimer(delayMillis, action));
    }

    /** Starts what was deferred, as the request is complete. */
    void startDeferred() {
        List<DeferredTimer> starting = deferred;
        deferred = null;
        if (starting != null) {
            for (DeferredTimer timer : starting) {
                schedule(timer.delayMillis(), timer.action());
            }
        }
    }

    /** Drops what was deferred. */
    void dropDeferred() {
        deferred = null;
    }

    /** Cancels what has been started. */
    void cancelAll() {
        for (int i = 0; i < timers.size(); i++) {
            timers.get(i).cancel(false);
        }
        timers.clear();
    }
}
