package rillyard.proxy.dispatch;

/** Monotonic clock of the balancer, in ms. */
final class BalancerClock {
    /** Time at the start of the process, large enough for a host that started before it to have a positive time. */
    private static final double START_MILLIS = 1e9;

    private static final double NANOS_PER_MILLI = 1e6;

    private final long startedAtNanos = System.nanoTime();
    private final double unixOffsetMillis = System.currentTimeMillis() - now();

    /** Returns the current time (ms). */
    double now() {
        return START_MILLIS + (System.nanoTime() - startedAtNanos) / NANOS_PER_MILLI;
    }

    /** Returns Unix time (ms) minus this clock's time, as of the start. */
    double unixOffsetMillis() {
        return unixOffsetMillis;
    }

    /** Converts a time of this clock to Unix time (ms), which runs on from the start whatever the wall clock does. */
    double toUnixMillis(double time) {
        return time + unixOffsetMillis;
    }

    /** Converts what {@link #toUnixMillis} returns back to this clock's time. */
    double fromUnixMillis(double unixMillis) {
        return unixMillis - unixOffsetMillis;
    }
}
