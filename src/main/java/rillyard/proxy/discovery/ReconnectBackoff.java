package rillyard.proxy.discovery;

/**
 * Computes the waits before a broken watch is reopened where lists are pushed: exponential backoff with jitter.
 *
 * <p>Waits are short, as the pushing agent runs on the same machine, charges nothing for a call, and counts what it
 * has as delivered from its return on.
 */
final class ReconnectBackoff {
    private static final long INITIAL_MILLIS = 50;
    private static final long MAX_MILLIS = 250;

    private long baseMillis = INITIAL_MILLIS;

    /** Returns the next wait, half to one and a half times the base, and doubles the base up to its maximum. */
    long nextDelayMillis() {
        long delayMillis = baseMillis / 2 + (long) (Math.random() * (double) baseMillis);
        baseMillis = Math.min(2 * baseMillis, MAX_MILLIS);
        return delayMillis;
    }

    /** Starts over, as a watch has worked or discovery has moved. */
    void reset() {
        baseMillis = INITIAL_MILLIS;
    }
}
