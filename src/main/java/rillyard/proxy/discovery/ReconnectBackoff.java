package rillyard.proxy.discovery;

/**
 * Computes the delays before a failed watch is reopened if lists are pushed: exponential backoff with jitter.
 *
 * <p>The delays are short, because the agent that pushes lists runs on the same machine, requests to it cost nothing,
 * and after an outage of the agent its changes count as delivered from the moment it is back.
 */
final class ReconnectBackoff {
    private static final long INITIAL_MILLIS = 50;
    private static final long MAX_MILLIS = 250;

    private long baseMillis = INITIAL_MILLIS;

    /** Returns the next delay, 0.5 to 1.5 times the base, and doubles the base up to its maximum. */
    long nextDelayMillis() {
        long delayMillis = baseMillis / 2 + (long) (Math.random() * (double) baseMillis);
        baseMillis = Math.min(2 * baseMillis, MAX_MILLIS);
        return delayMillis;
    }

    /** Resets the base, because a watch has worked or discovery has moved. */
    void reset() {
        baseMillis = INITIAL_MILLIS;
    }
}
