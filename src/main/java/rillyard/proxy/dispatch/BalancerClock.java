package rillyard.proxy.dispatch;

/** Monotonic clock of the balancer, in ms. */
final class BalancerClock {
    /** Time of this clock at the start of the process; large enough for earlier starts of hosts to be positive. */
    private static final double START_MILLIS = 1e9;

    private static final double NANOS_PER_MILLI = 1e6;

    private final long startedAtNanos = System.nanoTime();
    private final double unixOffsetMillis = System.currentTimeMillis() - nowMillis();

    /** Returns the current time (ms). */
    double nowMillis() {
        return START_MILLIS + (System.nanoTime() - startedAtNanos) / NANOS_PER_MILLI;
    }

    /** Converts a time (ms) of this clock to {@link System#nanoTime}. */
    long toNanoTime(double timeMillis) {
        return startedAtNanos + (long) ((timeMillis - START_MILLIS) * NANOS_PER_MILLI);
    }

    /** Returns Unix time (ms) minus this clock's time, as of the start. */
    double unixOffsetMillis() {
        return unixOffsetMillis;
    }

    /** Converts a time of this clock to Unix time (ms), as if the wall clock had not been set since the start. */
    double toUnixMillis(double timeMillis) {
        return timeMillis + unixOffsetMillis;
    }

    /** Converts a result of {@link #toUnixMillis} back to this clock's time. */
    double fromUnixMillis(double unixMillis) {
        return unixMillis - unixOffsetMillis;
    }
}
