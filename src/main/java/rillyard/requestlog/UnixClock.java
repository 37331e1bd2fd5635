package rillyard.requestlog;

import java.time.Instant;

/**
 * Provides Unix time in microseconds that never decreases: the wall clock is read once, and the monotonic clock gives
 * the time since. The clocks of two processes on one machine differ by well under a millisecond. Thread-safe.
 */
// Both clocks are meant to be read once, when the class is loaded: later readings are relative to that moment.
@SuppressWarnings("TimeInStaticInitializer")
public final class UnixClock {
    private static final long ZERO_NANOS;
    private static final long ZERO_MICROS;

    static {
        Instant now = Instant.now();
        ZERO_NANOS = System.nanoTime();
        ZERO_MICROS = now.getEpochSecond() * 1_000_000 + now.getNano() / 1_000;
    }

    private UnixClock() {}

    /** Returns the current Unix time in microseconds. */
    public static long micros() {
        return micros(System.nanoTime());
    }

    /** Returns the current Unix time in milliseconds. */
    public static long millis() {
        return Math.floorDiv(micros(), 1_000L);
    }

    /** Returns the Unix time in microseconds of a reading of {@link System#nanoTime}. */
    public static long micros(long nanoTime) {
        return ZERO_MICROS + Math.floorDiv(nanoTime - ZERO_NANOS, 1_000L);
    }
}
