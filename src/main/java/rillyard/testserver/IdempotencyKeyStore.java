package rillyard.testserver;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers the idempotency keys that a group of hosts received for one class. A request whose key is known is
 * answered once the first request of that key has completed, without a second execution. A key expires a fixed time
 * after its first receipt, which bounds the number of stored keys. Thread-safe.
 */
final class IdempotencyKeyStore {
    /** Holds the state of one key. */
    private static final class Entry {
        final long expiresAtNanos;
        boolean done;
        List<Runnable> waiting = List.of();

        Entry(long expiresAtNanos) {
            this.expiresAtNanos = expiresAtNanos;
        }
    }

    /** State of a received key. */
    enum KeyState {
        /** Unknown so far: the caller runs the request and then calls {@link #markDone} or {@link #forget}. */
        NEW,
        /** The first request of this key has completed. */
        DONE,
        /** The first request of this key is running. */
        RUNNING
    }

    private final long windowNanos;
    private final Map<String, Entry> keys = new LinkedHashMap<>();

    /**
     * Creates an empty store.
     *
     * @param windowNanos lifetime of a key in nanoseconds
     */
    IdempotencyKeyStore(long windowNanos) {
        this.windowNanos = windowNanos;
    }

    /**
     * Registers the receipt of a key and returns its state.
     *
     * @param nowNanos current time in nanoseconds, on a clock that all callers share
     * @param onCompleted run once when a running first request completes or is forgotten, on the thread that reports
     *     it; used only if the result is {@code RUNNING}
     */
    synchronized KeyState register(String key, long nowNanos, Runnable onCompleted) {
        for (Iterator<Entry> i = keys.values().iterator(); i.hasNext() && i.next().expiresAtNanos <= nowNanos; ) {
            i.remove();
        }
        Entry entry = keys.get(key);
        if (entry == null || entry.expiresAtNanos <= nowNanos) {
            keys.put(key, new Entry(nowNanos + windowNanos));
            return KeyState.NEW;
        }
        if (entry.done) {
            return KeyState.DONE;
        }
        entry.waiting = new ArrayList<>(entry.waiting);
        entry.waiting.add(onCompleted);
        return KeyState.RUNNING;
    }

    /** Records that the first request of a key has completed, and runs the waiting callbacks. */
    void markDone(String key) {
        List<Runnable> waiting;
        synchronized (this) {
            Entry entry = keys.get(key);
            if (entry == null) {
                return;
            }
            entry.done = true;
            waiting = entry.waiting;
            entry.waiting = List.of();
        }
        waiting.forEach(Runnable::run);
    }

    /** Removes a key whose first request did not run after all, and runs the waiting callbacks. */
    void forget(String key) {
        List<Runnable> waiting;
        synchronized (this) {
            Entry entry = keys.remove(key);
            waiting = entry == null ? List.of() : entry.waiting;
        }
        waiting.forEach(Runnable::run);
    }

    /** Returns the number of stored keys. */
    synchronized int size() {
        return keys.size();
    }
}
