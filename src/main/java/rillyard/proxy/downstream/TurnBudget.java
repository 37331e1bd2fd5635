package rillyard.proxy.downstream;

import rillyard.proxy.eventloop.PeekableSocketChannel;

/**
 * Limits the time that one connection takes of each turn of the event loop for requests that cost it nothing, so that
 * others are not delayed by it.
 */
final class TurnBudget {
    private static final long MAX_NANOS = 1_000_000L;

    /** Time that is left to others, as a multiple of the time that the connection has taken. */
    private static final long PAUSE_FACTOR = 2;

    private final PeekableSocketChannel channel;
    private long turn;
    private long turnBeganAtNanos;

    TurnBudget(PeekableSocketChannel channel) {
        this.channel = channel;
    }

    /** Returns whether the connection has used up its time in this turn. */
    boolean isSpent() {
        return spentNanos() > MAX_NANOS;
    }

    /** Returns for how long (ns) the connection should pause now. */
    long pauseNanos() {
        return Math.max(MAX_NANOS, PAUSE_FACTOR * spentNanos());
    }

    private long spentNanos() {
        long nowNanos = System.nanoTime();
        if (channel.turn() != turn) {
            turn = channel.turn();
            turnBeganAtNanos = nowNanos;
        }
        return nowNanos - turnBeganAtNanos;
    }
}
