package rillyard.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The facts that are known, and which of them to pass on. A fact is believed of a member that is present, in the life that
 * said it, until it ends; the owner says it again in time. Bounded by the members that are kept, times the kinds.
 */
final class Facts {
  /** An owner says a fact again when this share of its time is over: two of its tellings may get lost. */
  private static final double AGAIN = 1 / 3.0;

  /** An owner's facts of a kind change at most so often a second, but for the first. */
  private static final double MOST_A_SECOND = 10;

  private static final long FIRST = 1_024;

  private record Key(String owner, int kind) {}

  private static final class Entry {
    final Key key;
    Fact fact;
    double bornAt;
    int sent;
    /** Still to be passed on; {@code urgent} also by datagrams of its own, else where there is room. */
    boolean queued;
    boolean urgent;

    Entry(Key key) {
      this.key = key;
    }

    double age(double now) {
      return Math.max(0, now - bornAt);
    }
  }

  private final Map<Key, Entry> entries = new HashMap<>();
  private final Map<Key, Entry> queue = new HashMap<>();
  private int urgent;

  /** Says a fact of this member's own, an empty value to take it back. */
  void say(Update self, int kind, byte[] value, double lasts, double now) {
    Entry e = entries.computeIfAbsent(new Key(self.card().name(), kind), Entry::new);
    long version = e.fact == null ? 0 : e.fact.version() + 1;
    set(e, new Fact(self.card().name(), self.life().start(), kind, version, 0, lasts, value), now, true);
  }

  /** What this member says of itself it says again in time; facts that ended long ago are forgotten. */
  void tick(Update self, double now) {
    for (int kind = 0; kind <= Fact.MAX_KIND; kind++) {
      Entry e = entries.get(new Key(self.card().name(), kind));
      if (e != null && !e.fact.withdrawn() && e.age(now) >= e.fact.lasts() * AGAIN) {
        Fact f = e.fact;
        set(e, new Fact(f.owner(), f.start(), kind, f.version() + 1, 0, f.lasts(), f.value()), now, false);
      }
    }
  }

  private void set(Entry e, Fact f, double now, boolean isNew) {
    unqueue(e);
    e.fact = f;
    e.bornAt = now - f.age();
    e.sent = 0;
    e.queued = true;
    e.urgent = isNew;
    urgent += isNew ? 1 : 0;
    queue.put(e.key, e);
  }

  private void unqueue(Entry e) {
    if (e.queued) {
      urgent -= e.urgent ? 1 : 0;
      e.queued = false;
      queue.remove(e.key);
    }
  }

  /**
   * A fact has come, by whomever.
   *
   * @param life of its owner as this member holds it, null where it is unknown or gone
   * @param unixNow this machine's Unix time (ms)
   */
  void heard(Fact f, Update self, Life life, long unixNow, double now) {
    if (f.owner().equals(self.card().name())) {
      ownComesBack(f, self, unixNow, now);
      return;
    }
    if (life == null || life.start() != f.start() || !possible(f, unixNow)) {
      return;
    }
    Key key = new Key(f.owner(), f.kind());
    Entry e = entries.get(key);
    boolean later = e == null || f.start() > e.fact.start() || f.start() == e.fact.start() && f.version() > e.fact.version();
    if (!later) {
      return;
    }
    if (e == null) {
      e = new Entry(key);
      entries.put(key, e);
    }
    boolean same = e.fact != null && e.fact.start() == f.start() && java.util.Arrays.equals(e.fact.value(), f.value());
    set(e, f, now, !same);
    if (f.age() >= f.lasts() && !f.withdrawn()) {
      unqueue(e); // over already: kept so that an older one is not believed, not passed on
    }
  }

  /** Somebody has one of this member's name that it never said: the member has the last word. */
  private void ownComesBack(Fact f, Update self, long unixNow, double now) {
    if (f.start() != self.life().start() || !possible(f, unixNow)) {
      return;
    }
    Entry e = entries.computeIfAbsent(new Key(f.owner(), f.kind()), Entry::new);
    if (e.fact == null || f.version() > e.fact.version()
        || f.version() == e.fact.version() && !java.util.Arrays.equals(f.value(), e.fact.value())) {
      byte[] value = e.fact == null ? new byte[0] : e.fact.value();
      double lasts = e.fact == null ? f.lasts() : e.fact.lasts();
      set(e, new Fact(f.owner(), f.start(), f.kind(), f.version() + 1, 0, lasts, value), now, true);
    }
  }

  /** Whether an owner of that start can have said so many: guards against made-up versions that none could follow. */
  private static boolean possible(Fact f, long unixNow) {
    double lived = unixNow + Credence.CLOCKS_APART - f.start();
    return f.version() < Math.min(Fact.MAX_VERSION, FIRST + lived / 1_000 * MOST_A_SECOND);
  }

  /** Whether there are facts that are worth a datagram of their own. */
  boolean urgent() {
    return urgent > 0;
  }

  /** Facts to pass on, least told first, as far as the room goes. */
  List<Fact> pick(int room, int transmits, double now) {
    if (queue.isEmpty()) {
      return List.of();
    }
    List<Entry> order = new ArrayList<>(queue.values());
    order.sort(Comparator.<Entry>comparingInt(e -> e.sent).thenComparing(e -> !e.urgent)
        .thenComparing(e -> e.key.owner).thenComparingInt(e -> e.key.kind));
    List<Fact> out = new ArrayList<>();
    int left = room;
    for (Entry e : order) {
      Fact f = e.fact;
      if (e.age(now) >= f.lasts()) {
        unqueue(e);
      } else if (f.size() <= left) {
        left -= f.size();
        out.add(aged(e, now));
        if (++e.sent >= transmits) {
          unqueue(e);
        }
      }
    }
    return out;
  }

  private static Fact aged(Entry e, double now) {
    Fact f = e.fact;
    return new Fact(f.owner(), f.start(), f.kind(), f.version(), Math.min(Fact.MAX_MS, e.age(now)), f.lasts(), f.value());
  }

  /** The facts of a kind that hold now, by owner; those whose owner is not present in that life are left out. */
  Map<String, Fact> holding(int kind, Update self, Map<String, Belief> beliefs, double now) {
    Map<String, Fact> out = new TreeMap<>();
    for (Entry e : entries.values()) {
      Fact f = e.fact;
      if (f.kind() == kind && !f.withdrawn() && e.age(now) < f.lasts()) {
        Belief b = beliefs.get(f.owner());
        boolean own = f.owner().equals(self.card().name());
        if (own || b != null && b.status().present() && b.word.life().start() == f.start()) {
          out.put(f.owner(), aged(e, now));
        }
      }
    }
    return out;
  }

  /** The owner is forgotten. */
  void forget(String owner) {
    for (int kind = 0; kind <= Fact.MAX_KIND; kind++) {
      Entry e = entries.remove(new Key(owner, kind));
      if (e != null) {
        unqueue(e);
      }
    }
  }

  /** All that is held, in words; times count from {@code now}. */
  String state(double now) {
    StringBuilder s = new StringBuilder();
    entries.values().stream().sorted(Comparator.comparing((Entry e) -> e.key.owner).thenComparing(e -> e.key.kind)).forEach(
        e -> s.append("; fact ").append(aged(e, now)).append(e.sent).append(e.queued).append(e.urgent));
    return s.toString();
  }
}
