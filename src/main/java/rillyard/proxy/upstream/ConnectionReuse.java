package rillyard.proxy.upstream;

/** The idle times of one connection, and whether the host had closed it when a call reused it. */
final class ConnectionReuse {
    private static final long NOT_REUSED = -1;

    private final UpstreamPool pool;
    private long idleSinceNanos;
    private long reusedAfterNanos = NOT_REUSED;

    ConnectionReuse(UpstreamPool pool) {
        this.pool = pool;
    }

    /** The connection carries no call from now on. */
    void onIdle() {
        idleSinceNanos = System.nanoTime();
    }

    /** Returns the time ({@link System#nanoTime}) of the latest {@link #onIdle}, 0 if there was none. */
    long idleSinceNanos() {
        return idleSinceNanos;
    }

    /** The connection carries a call from now on. */
    void onCallStarted() {
        reusedAfterNanos = idleSinceNanos == 0 ? NOT_REUSED : System.nanoTime() - idleSinceNanos;
    }

    /** Reports to the pool, once a call, whether the connection had been reset; returns false for a first call, no reuse. */
    boolean report(boolean wasReset) {
        if (reusedAfterNanos == NOT_REUSED) {
            return false;
        }
        pool.onReuse(reusedAfterNanos, wasReset);
        reusedAfterNanos = NOT_REUSED;
        return true;
    }
}
