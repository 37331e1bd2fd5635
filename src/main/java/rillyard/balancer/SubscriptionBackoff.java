package rillyard.balancer;

import java.util.SplittableRandom;

/**
 * Subscribes to changes of the endpoint list if the settings require it, and subscribes again after each failure.
 * Backoff and jitter spare an overloaded discovery, but the backoff is limited by the time within which a change of the
 * list must be seen. Not thread-safe.
 */
final class SubscriptionBackoff {
    /** The timer token of the next subscription. Timers of requests use the request ids, which are never negative. */
    static final long TIMER_TOKEN = -1;

    /** Minimum factor by which the backoff is multiplied for a wait; jitter adds up to 1 to the factor. */
    private static final double MIN_JITTER = 0.5;

    private final boolean mustSubscribe;
    private final double maxBackoffMillis;
    private final SplittableRandom random;
    private final BalancerActions actions;
    private double backoffMillis = Tuning.BASE_SUBSCRIBE_BACKOFF_MILLIS;
    private boolean pending;

    SubscriptionBackoff(Settings settings, SplittableRandom random, BalancerActions actions) {
        this.mustSubscribe = settings.mustSubscribe();
        this.maxBackoffMillis = settings.rules().pollIntervalMillis(Tuning.MAX_SUBSCRIBE_BACKOFF_MILLIS);
        this.random = random;
        this.actions = actions;
    }

    /** Subscribes for the first time. */
    void onStart() {
        if (mustSubscribe) {
            actions.subscribe();
        }
    }

    /** Schedules the next subscription after a failure; a full list or a delta resets the backoff. */
    void onWatchEvent(WatchEvent event) {
        if (event == WatchEvent.FAILED && mustSubscribe && !pending) {
            pending = true;
            actions.scheduleTimer(backoffMillis * (MIN_JITTER + random.nextDouble()), TIMER_TOKEN);
            backoffMillis = Math.min(2 * backoffMillis, maxBackoffMillis);
        } else if (event == WatchEvent.DELTA || event == WatchEvent.FULL) {
            backoffMillis = Tuning.BASE_SUBSCRIBE_BACKOFF_MILLIS;
        }
    }

    /** Subscribes again when the backoff has expired. */
    void onTimer() {
        pending = false;
        actions.subscribe();
    }
}
