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
    private static final long SLEPT_NANOS = 5_000_000;

    private long begunAt;
    private long alarm;
    private long looked;
    private long since;
    private long turn;
    private long backlogTurn = -2;
    private long backlogSince;

    /** {@code now} is when the loop starts. */
    public StallDetector(long now) {
        begunAt = now;
        looked = now;
        since = now;
    }

    /** The loop is about to look; it sleeps until {@code alarm} at the latest, and not at all if that is now. */
    public void looking(long now, long alarm) {
        begunAt = now;
        this.alarm = alarm;
    }

    /** It has looked, and goes on to read what there was. */
    public void looked(long now) {
        boolean slept = alarm - begunAt > 0 && now - begunAt > SLEPT_NANOS;
        since = slept ? Math.min(now, alarm) : looked;
        looked = now;
        turn++;
    }

    /**
     * The look brought nothing. One that ended behind its alarm may not have looked at all: a stopped process
     * goes on with an interrupted wait, which the JDK ends for its time. What the next look brings may have
     * waited as long.
     */
    public void foundNothing() {
        if (alarm - begunAt > 0 && looked - alarm > 0) {
            looked = since;
        }
    }

    /** No byte read in this turn came before this time, on a connection that was open by then. */
    public long since() {
        return since;
    }

    /** For how long (ns) what is read in this turn may have waited at the most when the turn began. */
    public long late() {
        return looked - since;
    }

    /**
     * A connection is taken from the backlog; returns since when it, and what came on it, may have waited.
     * That is longer than a turn where the turns before left connections in the backlog.
     */
    public long accepting() {
        if (backlogTurn < turn - 1) {
            backlogSince = since;
        }
        backlogTurn = turn;
        return backlogSince;
    }

    /** The backlog is empty. */
    public void accepted() {
        backlogTurn = turn - 2;
    }

    /** The turn that reads now, by number. */
    public long turn() {
        return turn;
    }

    /**
     * Since when what is read now may have waited on a connection that {@link #accepting} gave in a turn,
     * with that time: what had come ahead of the accept is read by the turn after it.
     */
    public long since(long acceptTurn, long acceptedSince) {
        return turn <= acceptTurn + 1 ? acceptedSince : since;
    }
}
