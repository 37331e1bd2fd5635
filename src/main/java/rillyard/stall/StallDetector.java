package rillyard.stall;

/**
 * Computes since when what an event loop reads in a turn may have waited in its socket.
 *
 * <p>A client counts the time of its request from when it sent it, but a socket does not tell when its bytes arrived.
 * What was there at one poll of the selector has been read by the next, so nothing is older than the previous poll. If
 * the loop slept in its poll, whatever arrives wakes it: then nothing has waited, unless the process itself was paused,
 * which shows where the loop wakes after its wake-up time.
 *
 * <p>Times are nanoseconds of one clock. A pause that begins before the wake-up time is underestimated by at most the
 * time until then; a proxy's periodic maintenance limits that to 0.25 s. Not thread-safe.
 */
public final class StallDetector {
    /**
     * Duration beyond which a poll has slept, so that nothing was pending when it began.
     *
     * <p>It exceeds the time for which the scheduler commonly takes a thread off a shared core, which looks the same. The
     * cost is that up to so much is taken off the time of a request that has not waited.
     */
    private static final long MIN_SLEEP_NANOS = 5_000_000;

    /** A turn before all others. */
    private static final long NO_TURN = -2;

    private long pollBeganAt;
    private long wakeUpAt;
    private long pollEndedAt;
    private long readableSince;
    private long turn;
    private long backlogTurn = NO_TURN;
    private long backlogSince;

    /** Creates a detector for a loop that starts now. */
    public StallDetector(long now) {
        pollBeganAt = now;
        pollEndedAt = now;
        readableSince = now;
    }

    /** Is called before a poll, which sleeps until {@code wakeUpAt} at the latest, and not at all if that is now. */
    public void beforePoll(long now, long wakeUpAt) {
        pollBeganAt = now;
        this.wakeUpAt = wakeUpAt;
    }

    /** Is called after a poll, before its results are read; begins a turn. */
    public void afterPoll(long now) {
        boolean hasSlept = mayHaveSlept() && now - pollBeganAt > MIN_SLEEP_NANOS;
        readableSince = hasSlept ? Math.min(now, wakeUpAt) : pollEndedAt;
        pollEndedAt = now;
        turn++;
    }

    /**
     * Is called after a poll that found nothing.
     *
     * <p>One that ended after its wake-up time may not have polled at all: a process that was stopped resumes in an
     * interrupted wait, which the JDK ends as timed out. What the next poll finds may have waited as long.
     */
    public void onEmptyPoll() {
        if (mayHaveSlept() && pollEndedAt - wakeUpAt > 0) {
            pollEndedAt = readableSince;
        }
    }

    private boolean mayHaveSlept() {
        return wakeUpAt - pollBeganAt > 0;
    }

    /** Returns a time before which no byte arrived that this turn reads on a connection that was open by then. */
    public long readableSince() {
        return readableSince;
    }

    /** Returns the longest time for which what this turn reads may have waited when the turn began. */
    public long lateNanos() {
        return pollEndedAt - readableSince;
    }

    /**
     * Is called when a connection is accepted; returns since when it and what arrived on it may have waited.
     *
     * <p>That is more than one turn if the previous turns left connections in the backlog.
     */
    public long acceptableSince() {
        if (backlogTurn < turn - 1) {
            backlogSince = readableSince;
        }
        backlogTurn = turn;
        return backlogSince;
    }

    /** Is called when an accept found the backlog empty. */
    public void onBacklogEmpty() {
        backlogTurn = turn - 2; // neither this turn nor the one before
    }

    /** Returns the number of the present turn. */
    public long turn() {
        return turn;
    }

    /**
     * Returns since when what is read now may have waited on an accepted connection.
     *
     * <p>What arrived before the accept is read by the turn after it.
     *
     * @param acceptTurn the turn in which it was accepted
     * @param acceptedSince what {@link #acceptableSince} returned then
     */
    public long readableSince(long acceptTurn, long acceptedSince) {
        return turn <= acceptTurn + 1 ? acceptedSince : readableSince;
    }
}
