package rillyard.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The attributes of all members, and which of them are to be piggybacked on messages.
 *
 * <p>An attribute holds while its owner is present in the incarnation that published it, until it expires; the owner
 * renews it in time. An expired one is kept until its member is removed, so that no older version is accepted after it.
 * Bounded by the member table times the kinds. Not thread-safe.
 */
final class AttributeStore {
    /** Share of its time to live after which an attribute is renewed, so that two renewals may be lost. */
    private static final double RENEW_AFTER = 1 / 3.0;

    /** Versions a second that a process can publish over its life, after the initial ones. */
    private static final double MAX_VERSIONS_PER_SECOND = 10;

    private static final long INITIAL_VERSIONS = 1_024;

    private record Key(String owner, int kind) {
        static final Comparator<Key> ORDER = Comparator.comparing(Key::owner).thenComparingInt(Key::kind);

        static Key of(MemberAttribute attribute) {
            return new Key(attribute.owner(), attribute.kind());
        }
    }

    /** An attribute and when its owner published it. */
    private record StoredAttribute(MemberAttribute attribute, double publishedAt) {
        double ageMillis(double now) {
            return Math.max(0, now - publishedAt);
        }

        boolean isExpired(double now) {
            return ageMillis(now) >= attribute.ttlMillis();
        }

        /** Returns the attribute with its present age. */
        MemberAttribute at(double now) {
            return attribute.withAge(Math.min(MemberAttribute.MAX_MILLIS, ageMillis(now)));
        }
    }

    private final Map<Key, StoredAttribute> stored = new HashMap<>();
    private final Set<Integer> renewedKinds = new TreeSet<>();
    private final BroadcastQueue<Key> queue = new BroadcastQueue<>(Key.ORDER);

    /** Queued keys whose value is new, which justifies a datagram of their own. */
    private final Set<Key> newKeys = new HashSet<>();

    /**
     * Publishes an attribute of this member; an empty value withdraws it.
     *
     * @param renew whether it is renewed until it is published otherwise
     * @param unixNow this machine's Unix time (ms)
     * @return false if this member has published so many versions that others would reject one more
     */
    boolean publish(
            MemberUpdate self, int kind, byte[] value, double ttlMillis, boolean renew, long unixNow, double now) {
        String owner = self.identity().name();
        long startedAt = self.incarnation().startedAtMillis();
        StoredAttribute previous = stored.get(new Key(owner, kind));
        long version = previous == null ? 0 : previous.attribute.version() + 1;
        if (!isPlausible(version, startedAt, unixNow)) {
            return false;
        }
        if (renew) {
            renewedKinds.add(kind);
        } else {
            renewedKinds.remove(kind);
        }
        store(new MemberAttribute(owner, startedAt, kind, version, 0, ttlMillis, value), now, true);
        return true;
    }

    /** Renews this member's own attributes that are due. */
    void renewOwn(MemberUpdate self, double now) {
        for (int kind : renewedKinds) {
            StoredAttribute own = stored.get(new Key(self.identity().name(), kind));
            MemberAttribute attribute = own.attribute;
            if (!attribute.isWithdrawn() && own.ageMillis(now) >= attribute.ttlMillis() * RENEW_AFTER) {
                store(nextVersion(attribute, 0, attribute.ttlMillis(), attribute.value()), now, false);
            }
        }
    }

    private static MemberAttribute nextVersion(
            MemberAttribute attribute, double ageMillis, double ttlMillis, byte[] value) {
        return new MemberAttribute(
                attribute.owner(),
                attribute.ownerStartedAtMillis(),
                attribute.kind(),
                attribute.version() + 1,
                ageMillis,
                ttlMillis,
                value);
    }

    private void store(MemberAttribute attribute, double now, boolean isNew) {
        Key key = Key.of(attribute);
        stored.put(key, new StoredAttribute(attribute, now - attribute.ageMillis()));
        queue.add(key);
        if (isNew) {
            newKeys.add(key);
        } else {
            newKeys.remove(key);
        }
    }

    private void removeFromQueue(Key key) {
        queue.remove(key);
        newKeys.remove(key);
    }

    /**
     * Handles an attribute that was received, from whichever member.
     *
     * @param ownerIncarnation the incarnation of its owner that this member knows, or null if the owner is not present
     * @param unixNow this machine's Unix time (ms)
     */
    void onReceived(
            MemberAttribute attribute, MemberUpdate self, Incarnation ownerIncarnation, long unixNow, double now) {
        boolean isOwn = attribute.owner().equals(self.identity().name());
        Incarnation incarnation = isOwn ? self.incarnation() : ownerIncarnation;
        if (incarnation == null
                || incarnation.startedAtMillis() != attribute.ownerStartedAtMillis()
                || !isPlausible(attribute.version(), attribute.ownerStartedAtMillis(), unixNow)) {
            return;
        }
        StoredAttribute known = stored.get(Key.of(attribute));
        if (isOwn) {
            onOwnReceived(attribute, known, now);
        } else {
            onOthersReceived(attribute, known, now);
        }
    }

    private void onOthersReceived(MemberAttribute attribute, StoredAttribute known, double now) {
        boolean isSameProcess =
                known != null && known.attribute.ownerStartedAtMillis() == attribute.ownerStartedAtMillis();
        if (isSameProcess && attribute.version() <= known.attribute.version()) {
            return;
        }
        store(attribute, now, !isSameProcess || !known.attribute.hasValueOf(attribute));
        if (attribute.ageMillis() >= attribute.ttlMillis() && !attribute.isWithdrawn()) {
            removeFromQueue(Key.of(attribute)); // expired already: not passed on
        }
    }

    /** Overrides a version of this member's own attribute that it did not publish. */
    private void onOwnReceived(MemberAttribute attribute, StoredAttribute own, double now) {
        if (own == null) {
            store(nextVersion(attribute, 0, attribute.ttlMillis(), new byte[0]), now, true);
            return;
        }
        boolean isForged = attribute.version() > own.attribute.version()
                || (attribute.version() == own.attribute.version() && !attribute.hasValueOf(own.attribute));
        if (isForged) {
            // With its present age, as it may expire unrenewed.
            double ageMillis = Math.min(MemberAttribute.MAX_MILLIS, own.ageMillis(now));
            store(nextVersion(attribute, ageMillis, own.attribute.ttlMillis(), own.attribute.value()), now, true);
        }
    }

    /** Returns whether a process of that start can have published so many versions. */
    private static boolean isPlausible(long version, long startedAt, long unixNow) {
        double maxLifetimeMillis = unixNow + IncarnationValidator.MAX_CLOCK_SKEW_MILLIS - startedAt;
        double maxVersions = INITIAL_VERSIONS + maxLifetimeMillis / 1_000 * MAX_VERSIONS_PER_SECOND;
        return version < Math.min(MemberAttribute.MAX_VERSION, maxVersions);
    }

    /** Returns whether there are attributes with new values to send. */
    boolean hasNew() {
        return !newKeys.isEmpty();
    }

    /** Selects attributes for one datagram, least sent first, as far as the capacity (bytes) allows. */
    List<MemberAttribute> select(int capacity, int maxTransmissions, double now) {
        Selection selection = new Selection(capacity, now);
        List<Key> removed = queue.offer(
                maxTransmissions, () -> selection.remainingBytes >= MemberAttribute.MIN_SIZE, selection::take);
        newKeys.removeAll(removed);
        selection.expired.forEach(this::removeFromQueue);
        return selection.attributes;
    }

    private final class Selection {
        private final List<MemberAttribute> attributes = new ArrayList<>();
        private final List<Key> expired = new ArrayList<>();
        private final double now;
        private int remainingBytes;

        Selection(int capacity, double now) {
            this.remainingBytes = capacity;
            this.now = now;
        }

        boolean take(Key key) {
            StoredAttribute candidate = stored.get(key);
            if (candidate.isExpired(now)) {
                expired.add(key);
                return false;
            }
            if (candidate.attribute.size() > remainingBytes) {
                return false;
            }
            remainingBytes -= candidate.attribute.size();
            return attributes.add(candidate.at(now));
        }
    }

    /** Returns the attributes of a kind that hold at present, by owner. */
    Map<String, MemberAttribute> current(int kind, MemberUpdate self, Map<String, MemberState> members, double now) {
        Map<String, MemberAttribute> current = new TreeMap<>();
        for (StoredAttribute candidate : stored.values()) {
            MemberAttribute attribute = candidate.attribute;
            boolean isHeld = attribute.kind() == kind && !attribute.isWithdrawn() && !candidate.isExpired(now);
            if (isHeld && isOwnerPresent(attribute, self, members)) {
                current.put(attribute.owner(), candidate.at(now));
            }
        }
        return current;
    }

    /** Returns whether the owner is present in the process that published the attribute. */
    private static boolean isOwnerPresent(
            MemberAttribute attribute, MemberUpdate self, Map<String, MemberState> members) {
        if (attribute.owner().equals(self.identity().name())) {
            return true;
        }
        MemberState owner = members.get(attribute.owner());
        return owner != null
                && owner.status().isPresent()
                && owner.update().incarnation().startedAtMillis() == attribute.ownerStartedAtMillis();
    }

    /** Removes all attributes of another member. */
    void forget(String owner) {
        for (int kind = 0; kind <= MemberAttribute.MAX_KIND; kind++) {
            Key key = new Key(owner, kind);
            if (stored.remove(key) != null) {
                removeFromQueue(key);
            }
        }
    }

    /** Describes the state for the model checker; times are relative to the given one. */
    String state(double now) {
        StringBuilder out = new StringBuilder();
        stored.entrySet().stream().sorted(Map.Entry.comparingByKey(Key.ORDER)).forEach(entry -> out.append(
                        "; attribute ")
                .append(entry.getValue().at(now))
                .append(newKeys.contains(entry.getKey())));
        return out.append(queue.state()).toString();
    }
}
