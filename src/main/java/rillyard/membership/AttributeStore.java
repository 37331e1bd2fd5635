package rillyard.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The facts that are known, and which of them to pass on. A fact is believed of a member that is present, in the life that
 * said it, until it ends; the owner says it again in time. One that ended is kept until its member is forgotten, so that no
 * older one is believed after it. Bounded by the members that are kept, times the kinds.
 */
final class AttributeStore {
    /** An owner says a fact again when this share of its time is over: two of its tellings may get lost. */
    private static final double AGAIN = 1 / 3.0;

    /** An owner's facts of a kind change at most so often a second over its life, but for the first. */
    private static final double MOST_A_SECOND = 10;

    private static final long FIRST = 1_024;

    private record Key(String owner, int kind) {}

    /** A fact, and when (ms) its owner said it. */
    private record StoredAttribute(MemberAttribute fact, double bornAt) {
        double age(double now) {
            return Math.max(0, now - bornAt);
        }

        boolean over(double now) {
            return age(now) >= fact.ttlMillis();
        }

        /** As it is passed on at a time. */
        MemberAttribute at(double now) {
            return new MemberAttribute(
                    fact.owner(),
                    fact.start(),
                    fact.kind(),
                    fact.version(),
                    Math.min(MemberAttribute.MAX_MS, age(now)),
                    fact.ttlMillis(),
                    fact.value());
        }
    }

    private final Map<Key, StoredAttribute> held = new HashMap<>();
    private final Set<Integer> ownKinds = new TreeSet<>();
    private final BroadcastQueue<Key> turns =
            new BroadcastQueue<>(Comparator.comparing(Key::owner).thenComparingInt(Key::kind));
    /** Those of the turns that are worth a datagram of their own: they say something new. */
    private final Set<Key> urgent = new HashSet<>();

    /**
     * Says a fact of this member's own, an empty value to take it back.
     *
     * @param again whether it is said again in time
     * @param unixNow this machine's Unix time (ms)
     * @return whether it is said; not if this member has said so many that nobody would believe one more
     */
    boolean say(MemberUpdate self, int kind, byte[] value, double lasts, boolean again, long unixNow, double now) {
        StoredAttribute before = held.get(new Key(self.identity().name(), kind));
        long version = before == null ? 0 : before.fact.version() + 1;
        if (!possible(version, self.incarnation().startedAtMillis(), unixNow)) {
            return false;
        }
        if (again) {
            ownKinds.add(kind);
        } else {
            ownKinds.remove(kind);
        }
        take(
                new MemberAttribute(
                        self.identity().name(), self.incarnation().startedAtMillis(), kind, version, 0, lasts, value),
                now,
                true);
        return true;
    }

    /** What this member says of itself it says again in time. */
    void tick(MemberUpdate self, double now) {
        for (int kind : ownKinds) {
            StoredAttribute attribute = held.get(new Key(self.identity().name(), kind));
            MemberAttribute memberAttribute = attribute.fact;
            if (!memberAttribute.withdrawn() && attribute.age(now) >= memberAttribute.ttlMillis() * AGAIN) {
                take(
                        new MemberAttribute(
                                memberAttribute.owner(),
                                memberAttribute.start(),
                                kind,
                                memberAttribute.version() + 1,
                                0,
                                memberAttribute.ttlMillis(),
                                memberAttribute.value()),
                        now,
                        false);
            }
        }
    }

    private void take(MemberAttribute attribute, double now, boolean isNew) {
        Key key = new Key(attribute.owner(), attribute.kind());
        held.put(key, new StoredAttribute(attribute, now - attribute.ageMillis()));
        turns.add(key);
        if (isNew) {
            urgent.add(key);
        } else {
            urgent.remove(key);
        }
    }

    private void drop(Key key) {
        turns.remove(key);
        urgent.remove(key);
    }

    /**
     * A fact has come, by whomever.
     *
     * @param life of its owner as this member holds it, null where it is unknown or gone
     * @param unixNow this machine's Unix time (ms)
     */
    void heard(MemberAttribute attribute, MemberUpdate self, Incarnation life, long unixNow, double now) {
        boolean own = attribute.owner().equals(self.identity().name());
        Incarnation of = own ? self.incarnation() : life;
        if (of == null
                || of.startedAtMillis() != attribute.start()
                || !possible(attribute.version(), attribute.start(), unixNow)) {
            return;
        }
        StoredAttribute storedAttribute = held.get(new Key(attribute.owner(), attribute.kind()));
        boolean sameLife = storedAttribute != null && storedAttribute.fact.start() == attribute.start();
        if (own) {
            ownComesBack(attribute, storedAttribute, now);
        } else if (!sameLife || attribute.version() > storedAttribute.fact.version()) {
            take(attribute, now, !sameLife || !Arrays.equals(storedAttribute.fact.value(), attribute.value()));
            if (attribute.ageMillis() >= attribute.ttlMillis() && !attribute.withdrawn()) {
                drop(new Key(attribute.owner(), attribute.kind())); // over already: not passed on
            }
        }
    }

    /** Somebody has one of this member's name that it never said: the member has the last word. */
    private void ownComesBack(MemberAttribute attribute, StoredAttribute said, double now) {
        if (said == null
                || attribute.version() > said.fact.version()
                || attribute.version() == said.fact.version() && !Arrays.equals(attribute.value(), said.fact.value())) {
            byte[] value = said == null ? new byte[0] : said.fact.value();
            double lasts = said == null ? attribute.ttlMillis() : said.fact.ttlMillis();
            double age = said == null ? 0 : said.age(now); // it was said then, and may end by itself
            take(
                    new MemberAttribute(
                            attribute.owner(),
                            attribute.start(),
                            attribute.kind(),
                            attribute.version() + 1,
                            Math.min(MemberAttribute.MAX_MS, age),
                            lasts,
                            value),
                    now,
                    true);
        }
    }

    /** Whether an owner of that start can have said so many: guards against made-up versions that none could follow. */
    private static boolean possible(long version, long start, long unixNow) {
        double lived = unixNow + IncarnationValidator.CLOCKS_APART - start;
        return version < Math.min(MemberAttribute.MAX_VERSION, FIRST + lived / 1_000 * MOST_A_SECOND);
    }

    /** Whether there are facts that are worth a datagram of their own. */
    boolean urgent() {
        return !urgent.isEmpty();
    }

    /** Facts to pass on, least told first, as far as the room (bytes) goes. */
    List<MemberAttribute> pick(int room, int transmits, double now) {
        List<MemberAttribute> out = new ArrayList<>();
        List<Key> over = new ArrayList<>();
        int[] left = {room};
        List<Key> told = turns.offer(transmits, () -> left[0] >= MemberAttribute.LEAST_SIZE, key -> {
            StoredAttribute attribute = held.get(key);
            if (attribute.over(now)) {
                over.add(key);
                return false;
            }
            if (attribute.fact.size() > left[0]) {
                return false;
            }
            left[0] -= attribute.fact.size();
            return out.add(attribute.at(now));
        });
        urgent.removeAll(told);
        over.forEach(this::drop);
        return out;
    }

    /** The facts of a kind that hold now, by owner; those whose owner is not present in that life are left out. */
    Map<String, MemberAttribute> holding(int kind, MemberUpdate self, Map<String, MemberState> beliefs, double now) {
        Map<String, MemberAttribute> out = new TreeMap<>();
        for (StoredAttribute attribute : held.values()) {
            MemberAttribute memberAttribute = attribute.fact;
            if (memberAttribute.kind() == kind && !memberAttribute.withdrawn() && !attribute.over(now)) {
                MemberState member = beliefs.get(memberAttribute.owner());
                boolean own = memberAttribute.owner().equals(self.identity().name());
                if (own
                        || member != null
                                && member.status().present()
                                && member.word.incarnation().startedAtMillis() == memberAttribute.start()) {
                    out.put(memberAttribute.owner(), attribute.at(now));
                }
            }
        }
        return out;
    }

    /** The owner, another member, is forgotten. */
    void forget(String owner) {
        for (int kind = 0; kind <= MemberAttribute.MAX_KIND; kind++) {
            Key key = new Key(owner, kind);
            if (held.remove(key) != null) {
                drop(key);
            }
        }
    }

    /** All that is held, in words; times count from {@code now}. */
    String state(double now) {
        StringBuilder out = new StringBuilder();
        held.entrySet().stream()
                .sorted(Map.Entry.comparingByKey(
                        Comparator.comparing(Key::owner).thenComparingInt(Key::kind)))
                .forEach(e -> out.append("; fact ").append(e.getValue().at(now)).append(urgent.contains(e.getKey())));
        return out.append(turns.state()).toString();
    }
}
