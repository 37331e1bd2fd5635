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
 * Stores the attributes of all members and selects those to piggyback on messages.
 *
 * <p>An attribute is valid while the process that published it is present, until it expires; the owner renews it before
 * then. An expired attribute is kept until its owner is removed, so that no older version is accepted after it. The
 * store has at most one attribute per member and kind. Not thread-safe.
 */
final class AttributeStore {
    /** Fraction of its time to live after which an attribute is renewed, so that two renewals may be lost. */
    private static final double RENEWAL_SHARE = 1 / 3.0;

    /** Versions a second that a process can publish on average, in addition to {@link #INITIAL_VERSIONS}. */
    private static final double MAX_VERSIONS_PER_SECOND = 10;

    private static final long INITIAL_VERSIONS = 1_024;

    private record Key(String owner, int kind) {
        static final Comparator<Key> ORDER = Comparator.comparing(Key::owner).thenComparingInt(Key::kind);

        static Key of(MemberAttribute attribute) {
            return new Key(attribute.owner(), attribute.kind());
        }
    }

    /** An attribute and the time at which its owner published it. */
    private record StoredAttribute(MemberAttribute attribute, double publishedAtMillis) {
        double ageMillis(double nowMillis) {
            return Math.max(0, nowMillis - publishedAtMillis);
        }

        boolean isExpired(double nowMillis) {
            return ageMillis(nowMillis) >= attribute.ttlMillis();
        }

        /** Returns the attribute with its age at a time. */
        MemberAttribute withAgeAt(double nowMillis) {
            return attribute.withAge(Math.min(MemberAttribute.MAX_MILLIS, ageMillis(nowMillis)));
        }
    }

    private final Map<Key, StoredAttribute> stored = new HashMap<>();
    private final Set<Integer> renewedKinds = new TreeSet<>();
    private final BroadcastQueue<Key> queue = new BroadcastQueue<>(Key.ORDER);

    /** Queued keys whose value is new; gossip is sent for them even if no update is queued. */
    private final Set<Key> newKeys = new HashSet<>();

    /**
     * Publishes an attribute of this member; an empty value withdraws it.
     *
     * @param renew whether this version is renewed until another is published
     * @param unixNowMillis this machine's Unix time
     * @return false if this member has published so many versions that others would reject one more
     */
    boolean publish(
            MemberUpdate self,
            int kind,
            byte[] value,
            double ttlMillis,
            boolean renew,
            long unixNowMillis,
            double nowMillis) {
        String owner = self.identity().name();
        long startedAtMillis = self.incarnation().startedAtMillis();
        StoredAttribute previous = stored.get(new Key(owner, kind));
        long version = previous == null ? 0 : previous.attribute.version() + 1;
        if (!isPlausible(version, startedAtMillis, unixNowMillis)) {
            return false;
        }
        if (renew) {
            renewedKinds.add(kind);
        } else {
            renewedKinds.remove(kind);
        }
        store(new MemberAttribute(owner, startedAtMillis, kind, version, 0, ttlMillis, value), nowMillis, true);
        return true;
    }

    /** Renews this member's own attributes that are due for renewal. */
    void renewOwn(MemberUpdate self, double nowMillis) {
        for (int kind : renewedKinds) {
            StoredAttribute own = stored.get(new Key(self.identity().name(), kind));
            MemberAttribute attribute = own.attribute;
            if (!attribute.isWithdrawn() && own.ageMillis(nowMillis) >= attribute.ttlMillis() * RENEWAL_SHARE) {
                store(nextVersion(attribute, 0, attribute.ttlMillis(), attribute.value()), nowMillis, false);
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

    private void store(MemberAttribute attribute, double nowMillis, boolean isNew) {
        Key key = Key.of(attribute);
        stored.put(key, new StoredAttribute(attribute, nowMillis - attribute.ageMillis()));
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
     * Handles an attribute that was received from any member.
     *
     * @param ownerIncarnation the owner's incarnation in the member table, or null if the owner is not present
     * @param unixNowMillis this machine's Unix time
     */
    void onReceived(
            MemberAttribute attribute,
            MemberUpdate self,
            Incarnation ownerIncarnation,
            long unixNowMillis,
            double nowMillis) {
        boolean isOwn = attribute.owner().equals(self.identity().name());
        Incarnation incarnation = isOwn ? self.incarnation() : ownerIncarnation;
        if (incarnation == null
                || incarnation.startedAtMillis() != attribute.ownerStartedAtMillis()
                || !isPlausible(attribute.version(), attribute.ownerStartedAtMillis(), unixNowMillis)) {
            return;
        }
        StoredAttribute known = stored.get(Key.of(attribute));
        if (isOwn) {
            onOwnReceived(attribute, known, nowMillis);
        } else {
            onOthersReceived(attribute, known, nowMillis);
        }
    }

    private void onOthersReceived(MemberAttribute attribute, StoredAttribute known, double nowMillis) {
        boolean isSameProcess =
                known != null && known.attribute.ownerStartedAtMillis() == attribute.ownerStartedAtMillis();
        if (isSameProcess && attribute.version() <= known.attribute.version()) {
            return;
        }
        store(attribute, nowMillis, !isSameProcess || !known.attribute.hasValueOf(attribute));
        if (attribute.ageMillis() >= attribute.ttlMillis() && !attribute.isWithdrawn()) {
            removeFromQueue(Key.of(attribute)); // already expired, so it isn't passed on
        }
    }

    /** Overrides a received version of this member's own attribute if this member did not publish it. */
    private void onOwnReceived(MemberAttribute attribute, StoredAttribute own, double nowMillis) {
        if (own == null) {
            store(nextVersion(attribute, 0, attribute.ttlMillis(), new byte[0]), nowMillis, true);
            return;
        }
        boolean isForged = attribute.version() > own.attribute.version()
                || (attribute.version() == own.attribute.version() && !attribute.hasValueOf(own.attribute));
        if (isForged) {
            // The age is kept, as an attribute that isn't renewed still has to expire on time.
            double ageMillis = Math.min(MemberAttribute.MAX_MILLIS, own.ageMillis(nowMillis));
            store(nextVersion(attribute, ageMillis, own.attribute.ttlMillis(), own.attribute.value()), nowMillis, true);
        }
    }

    /** Returns whether a process that started at that time can have published so many versions. */
    private static boolean isPlausible(long version, long startedAtMillis, long unixNowMillis) {
        double maxLifetimeMillis = unixNowMillis + IncarnationValidator.MAX_CLOCK_SKEW_MILLIS - startedAtMillis;
        double maxVersions = INITIAL_VERSIONS + maxLifetimeMillis / 1_000 * MAX_VERSIONS_PER_SECOND;
        return version < Math.min(MemberAttribute.MAX_VERSION, maxVersions);
    }

    /** Returns whether there are attributes with new values to send. */
    boolean hasNew() {
        return !newKeys.isEmpty();
    }

    /** Selects attributes for one datagram, least sent first, that fit into {@code capacity} bytes. */
    List<MemberAttribute> select(int capacity, int maxTransmissions, double nowMillis) {
        Selection selection = new Selection(capacity, nowMillis);
        List<Key> removed = queue.offer(
                maxTransmissions, () -> selection.remainingBytes >= MemberAttribute.MIN_SIZE, selection::take);
        newKeys.removeAll(removed);
        selection.expired.forEach(this::removeFromQueue);
        return selection.attributes;
    }

    private final class Selection {
        private final List<MemberAttribute> attributes = new ArrayList<>();
        private final List<Key> expired = new ArrayList<>();
        private final double nowMillis;
        private int remainingBytes;

        Selection(int capacity, double nowMillis) {
            this.remainingBytes = capacity;
            this.nowMillis = nowMillis;
        }

        boolean take(Key key) {
            StoredAttribute candidate = stored.get(key);
            if (candidate.isExpired(nowMillis)) {
                expired.add(key);
                return false;
            }
            if (candidate.attribute.size() > remainingBytes) {
                return false;
            }
            remainingBytes -= candidate.attribute.size();
            return attributes.add(candidate.withAgeAt(nowMillis));
        }
    }

    /** Returns the valid attributes of a kind, keyed by owner. */
    Map<String, MemberAttribute> current(
            int kind, MemberUpdate self, Map<String, MemberState> members, double nowMillis) {
        Map<String, MemberAttribute> current = new TreeMap<>();
        for (StoredAttribute candidate : stored.values()) {
            MemberAttribute attribute = candidate.attribute;
            boolean isCurrent = attribute.kind() == kind && !attribute.isWithdrawn() && !candidate.isExpired(nowMillis);
            if (isCurrent && isOwnerPresent(attribute, self, members)) {
                current.put(attribute.owner(), candidate.withAgeAt(nowMillis));
            }
        }
        return current;
    }

    /** Returns whether the process that published the attribute is present. */
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

    /** Returns the state as text for the model checker, with times relative to {@code nowMillis}. */
    String state(double nowMillis) {
        StringBuilder out = new StringBuilder();
        stored.entrySet().stream().sorted(Map.Entry.comparingByKey(Key.ORDER)).forEach(entry -> out.append(
                        "; attribute ")
                .append(entry.getValue().withAgeAt(nowMillis))
                .append(newKeys.contains(entry.getKey())));
        return out.append(queue.state()).toString();
    }
}
