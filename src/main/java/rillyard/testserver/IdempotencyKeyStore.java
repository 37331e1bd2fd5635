package rillyard.testserver;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The keys that the hosts of one group have seen of one class. A key that is known is answered once
 * the first request of that key is, with no second effect; after its window it is new again. Safe for
 * the threads of several hosts. Keys past their window make room, so that it holds as many as come
 * within one.
 */
final class IdempotencyKeyStore {
    private static final class Entry {
        final long expiresAt;
        boolean done;
        List<Runnable> waiting = List.of();

        Entry(long expiresAt) {
            this.expiresAt = expiresAt;
        }
    }

    /** What a key is to a host that receives it. */
    enum KeyState {
        /** New: the request runs, and {@link IdempotencyKeyStore#markDone} is to follow. */
        NEW,
        /** Answered before. */
        DONE,
        /** Running: the answer comes later. */
        RUNNING
    }

    private final long windowNanos;
    private final Map<String, Entry> keys = new LinkedHashMap<>();

    /** {@code window} in ns. */
    IdempotencyKeyStore(long windowNanos) {
        this.windowNanos = windowNanos;
    }

    /** A request of this key has come; {@code later} is run once a running one is done. */
    synchronized KeyState register(String key, long now, Runnable onCompleted) {
        for (Iterator<Entry> i = keys.values().iterator(); i.hasNext() && i.next().expiresAt <= now; ) {
            i.remove();
        }
        Entry entry = keys.get(key);
        if (entry == null || entry.expiresAt <= now) {
            keys.put(key, new Entry(now + windowNanos));
            return KeyState.NEW;
        }
        if (entry.done) {
            return KeyState.DONE;
        }
        entry.waiting = new ArrayList<>(entry.waiting);
        entry.waiting.add(onCompleted);
        return KeyState.RUNNING;
    }

    /** The request that was new has run. */
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

    /** The request that was new has not run after all. */
    void forget(String key) {
        List<Runnable> waiting;
        synchronized (this) {
            Entry entry = keys.remove(key);
            waiting = entry == null ? List.of() : entry.waiting;
        }
        waiting.forEach(Runnable::run);
    }

    synchronized int size() {
        return keys.size();
    }
}
