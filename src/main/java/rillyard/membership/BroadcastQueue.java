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
 * What is to be passed on, and how often it has been: the least told first, each only so often. Kept in that order, as
 * thousands join at once and each datagram takes ten.
 */
final class BroadcastQueue<K> {
    private static final class Entry<K> {
        final K key;
        int told;

        Entry(K key) {
            this.key = key;
        }
    }

    private final Map<K, Entry<K>> turns = new HashMap<>();
    private final TreeSet<Entry<K>> order;
    private final Comparator<K> ties;

    /** Of two that were told alike the first by {@code ties} comes first. */
    BroadcastQueue(Comparator<K> ties) {
        this.ties = ties;
        this.order = new TreeSet<>(
                Comparator.<Entry<K>>comparingInt(entry -> entry.told).thenComparing(t -> t.key, ties));
    }

    /** There is something new about this: its turns begin anew. */
    void add(K key) {
        remove(key);
        Entry<K> entry = new Entry<>(key);
        turns.put(key, entry);
        order.add(entry);
    }

    void remove(K key) {
        Entry<K> entry = turns.remove(key);
        if (entry != null) {
            order.remove(entry);
        }
    }

    boolean isEmpty() {
        return turns.isEmpty();
    }

    /**
     * Offers all in turn.
     *
     * @param times those taken so often leave
     * @param more whether any further one could be taken at all
     * @param taken takes one, or doesn't; to change nothing here
     * @return those that have left
     */
    List<K> offer(int times, BooleanSupplier more, Predicate<K> taken) {
        List<Entry<K>> told = new ArrayList<>(10);
        for (Entry<K> entry : order) {
            if (!more.getAsBoolean()) {
                break;
            }
            if (taken.test(entry.key)) {
                told.add(entry);
            }
        }
        List<K> left = new ArrayList<>();
        for (Entry<K> t : told) {
            order.remove(t);
            t.told++;
            if (t.told < times) {
                order.add(t);
            } else {
                turns.remove(t.key);
                left.add(t.key);
            }
        }
        return left;
    }

    /** What is waiting, and how often it was told. */
    String state() {
        StringBuilder out = new StringBuilder();
        Map<K, Entry<K>> sorted = new TreeMap<>(ties);
        sorted.putAll(turns);
        sorted.values().forEach(entry -> out.append("; tell ").append(entry.key).append(entry.told));
        return out.toString();
    }
}
