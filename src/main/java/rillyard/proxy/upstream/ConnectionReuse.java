package rillyard.proxy.upstream;

/** Tracks how long one connection was idle before its reuse, and reports whether it had been reset meanwhile. */
final class ConnectionReuse {
    private static final long NOT_REUSED = -1;

    private final UpstreamPool pool;
    private long idleSinceNanos;
    private long reusedAfterNanos = NOT_REUSED;

    ConnectionReuse(UpstreamPool pool) {
        this.pool = pool;
    }

    /** Records that the connection becomes idle. */
    void onIdle() {
        idleSinceNanos = System.nanoTime();
    }

    /** Returns the time ({@link System#nanoTime}) of the latest {@link #onIdle}, 0 if there was none. */
    long idleSinceNanos() {
        return idleSinceNanos;
    }

    /** Records that the connection starts to carry a call. */
    void onCallStarted() {
        reusedAfterNanos = idleSinceNanos == 0 ? NOT_REUSED : System.nanoTime() - idleSinceNanos;
    }

    /**
     * Reports to the pool, once per call, whether the connection had been reset.
     *
     * @return false if there was nothing to report: the call is the connection's first, or has been reported
     */
    boolean report(boolean wasReset) {
        if (reusedAfterNanos == NOT_REUSED) {
            return false;
        }
        pool.onReuse(reusedAfterNanos, wasReset);
        reusedAfterNanos = NOT_REUSED;
        return true;
    }
}
