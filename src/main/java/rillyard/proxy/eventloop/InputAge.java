package rillyard.proxy.eventloop;

/**
 * Tracks since when the input that a connection reads may have been sent, and whether more of it may be unread.
 *
 * <p>Input waits in its socket while the event loop is busy, while reading is paused, and while one turn does not read
 * all of it. What is read after that may be as old as the beginning of the wait: the reader is behind. An empty socket
 * alone does not show that it has caught up, as the sender's kernel may hold more and sends it once there is room; only
 * little input, or none for a while, does. Times are {@link System#nanoTime}. Not thread-safe.
 */
final class InputAge {
    /** Time without input after which the sender's kernel holds none either. */
    private static final long MIN_SILENCE_NANOS = 5_000_000L;

    /** Number of turns in a row that read little, after which the sender's kernel holds nothing either. */
    private static final int MIN_SHORT_TURNS = 3;

    private long sentSinceNanos;
    private long lastReadNanos;
    private long lastTurn;
    private int shortTurns;
    private boolean isLastReadComplete = true;
    private boolean isPaused;
    private boolean isBehind;

    /**
     * Records a read.
     *
     * @param isComplete whether it has found the socket empty behind the bytes
     * @param turn number of the event loop's turn
     * @param readableSinceNanos since when the bytes may have waited unless the reader is behind
     */
    void onRead(boolean isComplete, long turn, long nowNanos, long readableSinceNanos) {
        if (turn != lastTurn) {
            onTurn(turn, nowNanos, readableSinceNanos);
        }
        if (!isComplete) {
            shortTurns = 0;
        }
        isLastReadComplete = isComplete;
        lastTurn = turn;
        lastReadNanos = nowNanos;
    }

    private void onTurn(long turn, long nowNanos, long readableSinceNanos) {
        boolean hasLastTurnLeftInput = hasTurnLeftInput(turn);
        isBehind |= hasLastTurnLeftInput;
        shortTurns++;
        if (nowNanos - lastReadNanos > MIN_SILENCE_NANOS || shortTurns > MIN_SHORT_TURNS) {
            isBehind = hasLastTurnLeftInput;
        }
        if (!isBehind) {
            sentSinceNanos = readableSinceNanos;
        }
    }

    /**
     * Returns whether the turn that read last has left input. A socket that has filled the buffer exactly may be empty:
     * then the poll of the next turn has not found it readable.
     */
    private boolean hasTurnLeftInput(long turn) {
        return !isLastReadComplete && turn <= lastTurn + 1;
    }

    /** Records that reading is paused; input that arrives from now on waits. */
    void onPaused(long turn, long nowNanos) {
        if (!hasUnreadInput(turn, nowNanos)) {
            sentSinceNanos = nowNanos;
        }
        isPaused = true;
        isBehind = true;
        shortTurns = 0;
    }

    /** Records that this turn does not read input, which may have arrived since the given time. */
    void onDeferred(long turn, long nowNanos, long readableSinceNanos) {
        if (!hasUnreadInput(turn, nowNanos)) {
            sentSinceNanos = readableSinceNanos;
        }
        isBehind = true;
        isLastReadComplete = false;
        lastTurn = turn;
        shortTurns = 0;
    }

    /** Records that reading is resumed. */
    void onResumed(long turn, long nowNanos) {
        isPaused = false;
        lastReadNanos = nowNanos;
        lastTurn = turn;
    }

    /** Records that a message is complete, behind which its sender sends nothing before it is answered. */
    void onMessageComplete() {
        if (isLastReadComplete) {
            isBehind = false;
        }
    }

    /** Records that the socket was found empty behind the last read. */
    void onSocketEmpty() {
        isLastReadComplete = true;
    }

    /** Returns whether input may be unread. */
    boolean hasUnreadInput(long turn, long nowNanos) {
        boolean isCatchingUp = isBehind && nowNanos - lastReadNanos < MIN_SILENCE_NANOS;
        return isPaused || isCatchingUp || hasTurnLeftInput(turn);
    }

    /** Returns since when the bytes that were read last, or the unread ones, may have waited. */
    long sentSinceNanos() {
        return sentSinceNanos;
    }
}
