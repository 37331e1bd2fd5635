package rillyard.proxy.eventloop;

/** The time that reads of one connection have taken lately, and when it was read last. Times are nanoseconds. */
final class ReadUsage {
    /** Least duration of the windows in which time is added up; the current one and the one before it count. */
    private static final long WINDOW_NANOS = 100_000_000L;

    /** Least number of turns in a window, as long turns read each connection seldom. */
    private static final long WINDOW_TURNS = 16;

    /** Time in two windows beyond which a connection uses much; a short message takes a tenth of it. */
    private static final long MAX_LIGHT_NANOS = 1_000_000L;

    private long windowBeganAtNanos;
    private long windowBeganInTurn;
    private long windowNanos;
    private long previousWindowNanos;
    private long lastTurn = -1;
    private long lastRound = -1;

    /** Returns whether the connection has used much time lately. */
    boolean isHeavy(long turn, long nowNanos) {
        advance(turn, nowNanos);
        return windowNanos + previousWindowNanos > MAX_LIGHT_NANOS;
    }

    private void advance(long turn, long nowNanos) {
        long windows =
                Math.min((nowNanos - windowBeganAtNanos) / WINDOW_NANOS, (turn - windowBeganInTurn) / WINDOW_TURNS);
        if (windows > 0) {
            previousWindowNanos = windows > 1 ? 0 : windowNanos;
            windowNanos = 0;
            windowBeganAtNanos = nowNanos;
            windowBeganInTurn = turn;
        }
    }

    /** Adds the time that the handling of a read has taken. */
    void onHandled(long durationNanos) {
        windowNanos += durationNanos;
    }

    void onRead(long turn, long round) {
        lastTurn = turn;
        lastRound = round;
    }

    /** Records that the connection has to wait: that time does not make its use less. */
    void onDeferred(long nowNanos) {
        windowBeganAtNanos = nowNanos;
    }

    boolean isFirstReadOf(long turn) {
        return lastTurn != turn;
    }

    boolean wasReadIn(long round) {
        return lastRound == round;
    }
}
