package rillyard.stall;

/**
 * Computes since when the input that an event loop reads may have waited in its socket.
 *
 * <p>A client measures the time of a request from when it sends the request, but a socket doesn't report when its bytes
 * arrived. Input that was there at one poll of the selector has been read by the next, so no input is older than the
 * previous poll. If the loop slept in its poll, it was woken up by the first input, which has not waited then, unless
 * the process itself was paused. A pause shows as a wake-up after the time at which the poll had to end.
 *
 * <p>A turn is one iteration of the event loop: a poll, and the reads and tasks after it. Times are nanoseconds of one
 * clock. A pause that begins before the wake-up time is underestimated by at most the time until then; a proxy's
 * periodic maintenance limits that to 0.25 s. Not thread-safe.
 */
public final class StallDetector {
    /**
     * Duration of a poll above which it has slept, so that no input was pending when it began.
     *
     * <p>It exceeds the time for which the scheduler commonly takes a thread off a shared core, which looks the same.
     * The cost is that up to this duration is deducted from the remaining time of a request that has not waited.
     */
    private static final long MIN_SLEEP_NANOS = 5_000_000;

    /** A turn number below all others. */
    private static final long NO_TURN = -2;

    private long pollBeganAtNanos;
    private long wakeUpAtNanos;
    private long pollEndedAtNanos;
    private long readableSinceNanos;
    private long turn;
    private long backlogTurn = NO_TURN;
    private long backlogSinceNanos;

    /** Creates a detector for a loop that starts at {@code nowNanos}. */
    public StallDetector(long nowNanos) {
        pollBeganAtNanos = nowNanos;
        pollEndedAtNanos = nowNanos;
        readableSinceNanos = nowNanos;
    }

    /** Records the start of a poll that sleeps until {@code wakeUpAtNanos} at the latest; not at all if that is now. */
    public void beforePoll(long nowNanos, long wakeUpAtNanos) {
        pollBeganAtNanos = nowNanos;
        this.wakeUpAtNanos = wakeUpAtNanos;
    }

    /** Records the end of a poll, before its input is read; begins a turn. */
    public void afterPoll(long nowNanos) {
        boolean hasSlept = mayHaveSlept() && nowNanos - pollBeganAtNanos > MIN_SLEEP_NANOS;
        readableSinceNanos = hasSlept ? Math.min(nowNanos, wakeUpAtNanos) : pollEndedAtNanos;
        pollEndedAtNanos = nowNanos;
        turn++;
    }

    /**
     * Records that the last poll found nothing.
     *
     * <p>A poll that ended after its wake-up time may not have polled at all: a process that was stopped resumes in an
     * interrupted wait, which the JDK ends as timed out. The input that the next poll finds may have waited as long.
     */
    public void onEmptyPoll() {
        if (mayHaveSlept() && pollEndedAtNanos - wakeUpAtNanos > 0) {
            pollEndedAtNanos = readableSinceNanos;
        }
    }

    private boolean mayHaveSlept() {
        return wakeUpAtNanos - pollBeganAtNanos > 0;
    }

    /** Returns when input of this turn may have arrived at the earliest, on connections that were open by then. */
    public long readableSince() {
        return readableSinceNanos;
    }

    /** Returns the longest time for which input of this turn may have waited when the turn began. */
    public long lateNanos() {
        return pollEndedAtNanos - readableSinceNanos;
    }

    /**
     * Records that a connection is accepted; returns since when the connection and its input may have waited.
     *
     * <p>That is a time before the previous poll if previous turns left connections in the backlog.
     */
    public long acceptableSince() {
        if (backlogTurn < turn - 1) {
            backlogSinceNanos = readableSinceNanos;
        }
        backlogTurn = turn;
        return backlogSinceNanos;
    }

    /** Records that an accept found the backlog empty. */
    public void onBacklogEmpty() {
        backlogTurn = turn - 2; // neither this turn nor the one before
    }

    /** Records that connections are accepted again, of which some may have waited since {@code pausedSinceNanos}. */
    public void onAcceptsResumed(long pausedSinceNanos) {
        backlogTurn = turn;
        backlogSinceNanos = pausedSinceNanos;
    }

    /** Returns the number of the current turn. */
    public long turn() {
        return turn;
    }

    /**
     * Returns since when the input that is read now on an accepted connection may have waited.
     *
     * <p>Input that arrived before the accept is read no later than in the turn after the accept.
     *
     * @param acceptTurn the turn in which the connection was accepted
     * @param acceptableSinceNanos the result of {@link #acceptableSince} for the connection
     */
    public long readableSince(long acceptTurn, long acceptableSinceNanos) {
        return turn <= acceptTurn + 1 ? acceptableSinceNanos : readableSinceNanos;
    }
}
