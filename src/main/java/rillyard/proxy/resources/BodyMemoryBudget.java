package rillyard.proxy.resources;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The one bound over all buffered bodies, of requests and of answers. What does not fit waits in
 * its socket: its reader is paused and resumed in order of waiting.
 */
public final class BodyMemoryBudget {
    /** Bodies up to this size may use all of the budget, larger ones leave a part to them. */
    static final int SMALL = 64 * 1024;

    private static final double LARGE_PART = 0.85;

    private final long limit;
    private final Set<Runnable> waiting = new LinkedHashSet<>();
    private long used;
    private long incomplete;

    public BodyMemoryBudget(long limit) {
        this.limit = limit;
    }

    private long limitFor(long size) {
        return size <= SMALL ? limit : (long) (LARGE_PART * limit);
    }

    /** Counts bytes that were read; {@code partial} ones belong to a request that still comes. */
    void charge(int bytes, boolean partial) {
        used += bytes;
        incomplete += partial ? bytes : 0;
    }

    /** The request these bytes belong to has come whole: they are freed at its deadline at last. */
    void completed(long bytes) {
        incomplete -= bytes;
    }

    void release(long bytes, boolean partial) {
        used -= bytes;
        incomplete -= partial ? bytes : 0;
        if (!waiting.isEmpty() && used < limitFor(Long.MAX_VALUE)) {
            Runnable[] resumed = waiting.toArray(Runnable[]::new);
            waiting.clear();
            for (Runnable r : resumed) {
                r.run();
            }
        }
    }

    /** Whether a body of this size must not grow now. */
    public boolean isExhausted(long size) {
        return used >= limitFor(size);
    }

    /** Whether waiting would never end: requests that still come hold all that they may. */
    public boolean isDeadlocked() {
        return incomplete >= limitFor(Long.MAX_VALUE);
    }

    /** Runs {@code resume} once when bytes have been freed. */
    public void awaitCapacity(Runnable resume) {
        waiting.add(resume);
    }

    public void cancelWait(Runnable resume) {
        waiting.remove(resume);
    }
}
