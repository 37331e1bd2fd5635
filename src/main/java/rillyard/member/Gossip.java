package rillyard.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The words to pass on: the newest of each member, those passed on least often first, each only so often.
 * Bounded by the members that are kept.
 */
final class Gossip {
  private static final class Entry {
    final String name;
    int sent;

    Entry(String name) {
      this.name = name;
    }
  }

  private final Map<String, Entry> queued = new HashMap<>();
  /** The same, those passed on least often first: thousands join at once, and each datagram takes ten. */
  private final TreeSet<Entry> order =
      new TreeSet<>(Comparator.<Entry>comparingInt(e -> e.sent).thenComparing(e -> e.name));

  /** There is a new word about this member. */
  void changed(String name) {
    forget(name);
    Entry e = new Entry(name);
    queued.put(name, e);
    order.add(e);
  }

  boolean isEmpty() {
    return queued.isEmpty();
  }

  /** What is queued, and how often it was passed on. */
  String state() {
    StringBuilder s = new StringBuilder();
    new java.util.TreeMap<>(queued).values().forEach(e -> s.append("; tell ").append(e.name).append(e.sent));
    return s.toString();
  }

  void forget(String name) {
    Entry e = queued.remove(name);
    if (e != null) {
      order.remove(e);
    }
  }

  /**
   * Picks words for one datagram.
   *
   * @param first names that come first, whatever was sent of them before
   * @param room bytes that are left
   * @param transmits how often a word is passed on
   */
  List<Update> pick(Map<String, Belief> beliefs, List<String> first, int room, int transmits) {
    List<Update> out = new ArrayList<>(10);
    Set<String> in = new HashSet<>();
    int left = room;
    for (String name : first) {
      left = add(out, in, beliefs.get(name), left);
    }
    List<Entry> told = new ArrayList<>(10);
    for (Entry e : order) {
      if (left < Codec.LEAST_WORD) {
        break;
      }
      int before = left;
      left = add(out, in, beliefs.get(e.name), left);
      if (left < before) {
        told.add(e);
      }
    }
    for (Entry e : told) {
      order.remove(e);
      e.sent++;
      if (e.sent < transmits) {
        order.add(e);
      } else {
        queued.remove(e.name);
      }
    }
    return out;
  }

  /** Adds words about these, where there is room left, in their order. */
  void fill(Map<String, Belief> beliefs, List<Update> out, int room, List<String> fill) {
    int left = room;
    Set<String> in = new HashSet<>();
    out.forEach(u -> in.add(u.card().name()));
    for (String name : fill) {
      left = add(out, in, beliefs.get(name), left);
    }
  }

  private static int add(List<Update> out, Set<String> in, Belief b, int left) {
    if (b == null || Codec.size(b.word) > left || !in.add(b.word.card().name())) {
      return left;
    }
    out.add(b.word);
    return left - Codec.size(b.word);
  }
}
