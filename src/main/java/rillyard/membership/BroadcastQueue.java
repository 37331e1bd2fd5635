package rillyard.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Queues keys that are to be piggybacked on messages, ordered by the number of transmissions, fewest first.
 *
 * <p>The order is maintained incrementally, as thousands of members may join at once and each datagram takes only about
 * ten keys. Not thread-safe.
 */
final class BroadcastQueue<K> {
    private static final int TYPICAL_SELECTION = 10;

    private static final class Entry<K> {
        final K key;
        int transmissions;

        Entry(K key) {
            this.key = key;
        }
    }

    private final Map<K, Entry<K>> entries = new HashMap<>();
    private final TreeSet<Entry<K>> order;
    private final Comparator<K> tieBreaker;

    /** Creates an empty queue; {@code tieBreaker} orders keys that have been sent equally often. */
    BroadcastQueue(Comparator<K> tieBreaker) {
        this.tieBreaker = tieBreaker;
        this.order = new TreeSet<>(Comparator.<Entry<K>>comparingInt(entry -> entry.transmissions)
                .thenComparing(entry -> entry.key, tieBreaker));
    }

    /** Adds a key, or resets its transmission count if it is already queued. */
    void add(K key) {
        remove(key);
        Entry<K> entry = new Entry<>(key);
        entries.put(key, entry);
        order.add(entry);
    }

    void remove(K key) {
        Entry<K> entry = entries.remove(key);
        if (entry != null) {
            order.remove(entry);
        }
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Offers the keys in order and counts a transmission for each key that is taken.
     *
     * @param maxTransmissions transmissions after which a key leaves the queue
     * @param hasCapacity returns whether a further key could be taken at all
     * @param take takes a key and returns true, or returns false; must not change the queue
     * @return the keys that have left the queue
     */
    List<K> offer(int maxTransmissions, BooleanSupplier hasCapacity, Predicate<K> take) {
        List<Entry<K>> taken = new ArrayList<>(TYPICAL_SELECTION);
        for (Entry<K> entry : order) {
            if (!hasCapacity.getAsBoolean()) {
                break;
            }
            if (take.test(entry.key)) {
                taken.add(entry);
            }
        }
        List<K> removed = new ArrayList<>();
        for (Entry<K> entry : taken) {
            order.remove(entry);
            entry.transmissions++;
            if (entry.transmissions < maxTransmissions) {
                order.add(entry);
            } else {
                entries.remove(entry.key);
                removed.add(entry.key);
            }
        }
        return removed;
    }

    /** Returns the state as text for the model checker. */
    String state() {
        StringBuilder out = new StringBuilder();
        Map<K, Entry<K>> sorted = new TreeMap<>(tieBreaker);
        sorted.putAll(entries);
        sorted.values()
                .forEach(entry -> out.append("; queued ").append(entry.key).append(entry.transmissions));
        return out.toString();
    }
}
