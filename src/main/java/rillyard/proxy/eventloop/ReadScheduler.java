package rillyard.proxy.eventloop;

import rillyard.stall.StallDetector;

/**
 * Shares the time of an event loop among the connections that are read, so that long transfers, each piece of which may
 * be costly, don't delay short messages.
 *
 * <p>Once a turn of the loop has lasted for {@link #MAX_TURN_NANOS}, connections that have used much time lately are not
 * read any more in it, and others are read once and little. Deferred connections follow in the next turns: none is read
 * again before all that were deferred have been read. The selector reports unread input again, so nothing is stored for
 * a deferred connection but its {@link ReadUsage}. Confined to the event loop.
 */
public final class ReadScheduler {
    /** Result of {@link #maxBytes} for a connection that is not to be read in this turn. */
    static final int DEFERRED = 0;

    /** Duration of a turn beyond which reads are deferred; a short request takes some turns. */
    private static final long MAX_TURN_NANOS = 10_000_000L;

    /** Bytes that are read of a connection with little use in a turn that has lasted too long; most requests fit. */
    private static final int SMALL_READ_BYTES = 2_048;

    private final StallDetector stallDetector;
    private long turn;
    private long turnBeganAtNanos;
    private long round;
    private boolean hasDeferred;
    private boolean isContended;

    /** Creates a scheduler for the loop of this detector, which counts its turns. */
    public ReadScheduler(StallDetector stallDetector) {
        this.stallDetector = stallDetector;
    }

    /** Returns the detector of the loop. */
    public StallDetector stallDetector() {
        return stallDetector;
    }

    /** Returns how many bytes a connection may read now: {@link #DEFERRED}, or the given maximum, or less. */
    int maxBytes(ReadUsage usage, int maxBytes, long nowNanos) {
        if (stallDetector.turn() != turn) {
            beginTurn(nowNanos);
        }
        boolean isTurnOver = nowNanos - turnBeganAtNanos > MAX_TURN_NANOS;
        int granted = usage.isHeavy(turn, nowNanos) ? heavyBytes(usage, isTurnOver, maxBytes) : maxBytes;
        if (isTurnOver && granted != DEFERRED) {
            granted = usage.isFirstReadOf(turn) ? Math.min(granted, SMALL_READ_BYTES) : DEFERRED;
        }
        if (granted == DEFERRED) {
            usage.onDeferred(nowNanos);
        } else {
            usage.onRead(turn, round);
        }
        return granted;
    }

    private int heavyBytes(ReadUsage usage, boolean isTurnOver, int maxBytes) {
        if (isTurnOver) {
            hasDeferred = true;
            return DEFERRED;
        }
        return isContended && usage.wasReadIn(round) ? DEFERRED : maxBytes;
    }

    /** Begins a turn, and a new round of reads unless connections were deferred that have not been read since. */
    private void beginTurn(long nowNanos) {
        turn = stallDetector.turn();
        turnBeganAtNanos = nowNanos;
        isContended = hasDeferred;
        if (!hasDeferred) {
            round++;
        }
        hasDeferred = false;
    }
}
