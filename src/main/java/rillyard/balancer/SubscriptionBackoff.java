package rillyard.balancer;

import java.util.SplittableRandom;

/**
 * Subscribes to changes of the endpoint list, where the proxy has to do so itself, and again after each failure: with
 * backoff and jitter, as discovery may be overloaded, but never later than a change of the list allows. Not thread-safe.
 */
final class SubscriptionBackoff {
    /** The timer token of the next subscription; those of requests are their ids, which are never negative. */
    static final long TIMER_TOKEN = -1;

    /** Jitter: each wait is this part of the backoff at least, and as much above the backoff at most. */
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

    /** Schedules the next subscription after a failure; a list from discovery resets the backoff. */
    void onWatchEvent(WatchEvent event) {
        if (event == WatchEvent.FAILED && mustSubscribe && !pending) {
            pending = true;
            actions.scheduleTimer(backoffMillis * (MIN_JITTER + random.nextDouble()), TIMER_TOKEN);
            backoffMillis = Math.min(2 * backoffMillis, maxBackoffMillis);
        } else if (event == WatchEvent.DELTA || event == WatchEvent.FULL) {
            backoffMillis = Tuning.BASE_SUBSCRIBE_BACKOFF_MILLIS;
        }
    }

    /** Subscribes again once the backoff is over. */
    void onTimer() {
        pending = false;
        actions.subscribe();
    }
}
