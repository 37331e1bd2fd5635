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
        final long until;
        boolean done;
        List<Runnable> waiting = List.of();

        Entry(long until) {
            this.until = until;
        }
    }

    /** What a key is to a host that receives it. */
    enum Known {
        /** New: the request runs, and {@link IdempotencyKeyStore#done} is to follow. */
        NEW,
        /** Answered before. */
        DONE,
        /** Running: the answer comes later. */
        RUNNING
    }

    private final long window;
    private final Map<String, Entry> keys = new LinkedHashMap<>();

    /** {@code window} in ns. */
    IdempotencyKeyStore(long window) {
        this.window = window;
    }

    /** A request of this key has come; {@code later} is run once a running one is done. */
    synchronized Known seen(String key, long now, Runnable later) {
        for (Iterator<Entry> i = keys.values().iterator(); i.hasNext() && i.next().until <= now; ) {
            i.remove();
        }
        Entry entry = keys.get(key);
        if (entry == null || entry.until <= now) {
            keys.put(key, new Entry(now + window));
            return Known.NEW;
        }
        if (entry.done) {
            return Known.DONE;
        }
        entry.waiting = new ArrayList<>(entry.waiting);
        entry.waiting.add(later);
        return Known.RUNNING;
    }

    /** The request that was new has run. */
    void done(String key) {
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
