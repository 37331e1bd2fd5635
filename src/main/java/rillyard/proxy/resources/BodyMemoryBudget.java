package rillyard.proxy.resources;

import io.netty.buffer.PooledByteBufAllocator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The memory budget of all buffered bodies, of requests and of responses.
 *
 * <p>A reader pauses when the budget is exhausted, so that further input waits in its socket; readers are resumed in
 * the order in which they paused. Confined to the event loop.
 */
public final class BodyMemoryBudget {
    /** Size (bytes) up to which a body may use the whole budget; larger ones leave a part of it to the smaller ones. */
    private static final int SMALL_BODY_BYTES = 64 * 1024;

    private static final double LARGE_BODY_SHARE = 0.85;

    private final long limitBytes;
    private final Set<Runnable> waiting = new LinkedHashSet<>();
    private long usedBytes;
    private long incompleteBytes;

    /** Creates an unused budget of so many bytes. */
    public BodyMemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Creates an empty body that is charged to the budget.
     *
     * @param expectedBytes announced length, -1 if unknown
     * @param isRequest whether it is the body of a request that is still being received
     */
    public BufferedBody newBody(long expectedBytes, boolean isRequest) {
        return new BufferedBody(this, PooledByteBufAllocator.DEFAULT, expectedBytes, isRequest);
    }

    private long limitFor(long bodyBytes) {
        return bodyBytes <= SMALL_BODY_BYTES ? limitBytes : (long) (LARGE_BODY_SHARE * limitBytes);
    }

    private long largeBodyLimit() {
        return limitFor(Long.MAX_VALUE);
    }

    /** Charges bytes that were read; {@code isIncomplete} marks those of a request that has not arrived completely. */
    public void charge(int bytes, boolean isIncomplete) {
        usedBytes += bytes;
        incompleteBytes += isIncomplete ? bytes : 0;
    }

    /** Records that a request of so many bytes is complete; its bytes are released at its deadline at the latest. */
    void onComplete(long bytes) {
        incompleteBytes -= bytes;
    }

    /** Returns bytes to the budget and resumes readers if it has capacity again. */
    public void release(long bytes, boolean isIncomplete) {
        usedBytes -= bytes;
        incompleteBytes -= isIncomplete ? bytes : 0;
        if (!waiting.isEmpty() && usedBytes < largeBodyLimit()) {
            Runnable[] resumed = waiting.toArray(Runnable[]::new);
            waiting.clear();
            for (Runnable resume : resumed) {
                resume.run();
            }
        }
    }

    /** Returns whether a body of this size must not grow at present. */
    public boolean isExhausted(long bodyBytes) {
        return usedBytes >= limitFor(bodyBytes);
    }

    /** Returns whether a wait might never end, as incomplete requests hold all the memory that large bodies may use. */
    public boolean isDeadlocked() {
        return incompleteBytes >= largeBodyLimit();
    }

    /** Runs {@code resume} once when bytes have been released; does nothing if it is waiting already. */
    public void awaitCapacity(Runnable resume) {
        waiting.add(resume);
    }

    /** Cancels {@link #awaitCapacity}; does nothing if {@code resume} is not waiting. */
    public void cancelWait(Runnable resume) {
        waiting.remove(resume);
    }
}
