package rillyard.stall;

/**
 * Since when what an event loop reads in a turn may have waited in its socket. A client counts the time
 * of its request from when it sent it, and no socket tells when its bytes came; but what was there at
 * one look has been read by the next, so nothing is older than the look before. Where the loop slept in
 * between, whatever comes wakes it: then nothing has waited, unless the process itself stood still, and
 * that shows where the loop wakes after the moment for which it had set its alarm.
 *
 * <p>Times are nanoseconds of one clock. A process that stands still before its alarm is due hides so
 * much of its gap: no more than the alarm is away, which for a proxy is its upkeep, four times a second.
 */
public final class StallDetector {
    /**
     * A look that takes longer than this (ns) has slept: nothing was there when it began. Longer than the
     * scheduler commonly keeps a thread off a shared core, which looks the same; the price is that up to so
     * much is taken off the time of a request that has not waited.
     */
    private static final long MIN_STALL_NANOS = 5_000_000;

    private long begunAt;
    private long alarm;
    private long afterPoll;
    private long readableSince;
    private long turn;
    private long backlogTurn = -2;
    private long backlogSince;

    /** {@code now} is when the loop starts. */
    public StallDetector(long now) {
        begunAt = now;
        afterPoll = now;
        readableSince = now;
    }

    /** The loop is about to look; it sleeps until {@code alarm} at the latest, and not at all if that is now. */
    public void beforePoll(long now, long alarm) {
        begunAt = now;
        this.alarm = alarm;
    }

    /** It has looked, and goes on to read what there was. */
    public void afterPoll(long now) {
        boolean slept = alarm - begunAt > 0 && now - begunAt > MIN_STALL_NANOS;
        readableSince = slept ? Math.min(now, alarm) : afterPoll;
        afterPoll = now;
        turn++;
    }

    /**
     * The look brought nothing. One that ended behind its alarm may not have looked at all: a stopped process
     * goes on with an interrupted wait, which the JDK ends for its time. What the next look brings may have
     * waited as long.
     */
    public void onEmptyPoll() {
        if (alarm - begunAt > 0 && afterPoll - alarm > 0) {
            afterPoll = readableSince;
        }
    }

    /** No byte read in this turn came before this time, on a connection that was open by then. */
    public long readableSince() {
        return readableSince;
    }

    /** For how long (ns) what is read in this turn may have waited at the most when the turn began. */
    public long lateNanos() {
        return afterPoll - readableSince;
    }

    /**
     * A connection is taken from the backlog; returns since when it, and what came on it, may have waited.
     * That is longer than a turn where the turns before left connections in the backlog.
     */
    public long acceptableSince() {
        if (backlogTurn < turn - 1) {
            backlogSince = readableSince;
        }
        backlogTurn = turn;
        return backlogSince;
    }

    /** The backlog is empty. */
    public void onBacklogEmpty() {
        backlogTurn = turn - 2;
    }

    /** The turn that reads now, by number. */
    public long turn() {
        return turn;
    }

    /**
     * Since when what is read now may have waited on a connection that {@link #acceptableSince} gave in a turn,
     * with that time: what had come ahead of the accept is read by the turn after it.
     */
    public long readableSince(long acceptTurn, long acceptedSince) {
        return turn <= acceptTurn + 1 ? acceptedSince : readableSince;
    }
}
