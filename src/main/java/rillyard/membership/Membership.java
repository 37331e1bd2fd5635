package rillyard.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * One member of the fleet, with its view of the others.
 *
 * <p>The caller passes in messages and the time; the member sends messages and events through {@link Output}. Times are
 * milliseconds since its process started, on a monotonic clock. Not thread-safe.
 */
public final class Membership {
    /** Receives the messages and events of the member. */
    public interface Output {
        /** Sends a message, which may be lost. */
        void send(MemberAddress to, Message message);

        /** Is called when the status of a member has changed. */
        void onMembershipEvent(MembershipEvent event);
    }

    /** Protocol periods between two attempts to reach dead members and seeds. */
    private static final int REJOIN_PERIODS = 2;

    private static final double MIN_TTL_MILLIS = 1_000;

    private final MembershipSettings settings;
    private final Output output;
    private final LocalMember localMember;
    private final LocalHealth health = new LocalHealth();
    private final MemberTable members;
    private final UpdateQueue updateQueue = new UpdateQueue();
    private final AttributeStore attributes = new AttributeStore();
    private final MessageSender sender;
    private final UpdateProcessor updates;
    private final FailureDetector failureDetector;
    private final Dissemination dissemination;
    private final JoinProtocol joinProtocol;
    private double lastTickAtMillis = Double.NaN;
    private double lastRejoinAtMillis = Double.NEGATIVE_INFINITY;

    /**
     * Creates a member that does not know any other.
     *
     * @param startedUnixMillis the Unix time of the start of its process
     * @param seeds addresses of members, used to join and to rejoin after a partition
     * @param random its only source of randomness
     */
    public Membership(
            MembershipSettings settings,
            MemberIdentity identity,
            long startedUnixMillis,
            List<MemberAddress> seeds,
            RandomGenerator random,
            Output output) {
        this.settings = settings;
        this.output = output;
        this.localMember = new LocalMember(identity, startedUnixMillis, settings.probeIntervalMillis());
        this.members = new MemberTable(random);
        this.sender = new MessageSender(settings, localMember, members, updateQueue, attributes, output);
        this.updates = new UpdateProcessor(settings, localMember, health, members, updateQueue, sender, output);
        this.failureDetector = new FailureDetector(settings, localMember, health, members, updates, sender, random);
        this.dissemination = new Dissemination(settings, members, updateQueue, attributes, sender);
        this.joinProtocol = new JoinProtocol(seeds, localMember, members, sender, random);
    }

    // --- known members

    /** Returns this member's update about itself. */
    public MemberUpdate self() {
        return localMember.update();
    }

    /** Returns whether this member sends nothing any more: it has left, or a later process has its name. */
    public boolean hasLeft() {
        return localMember.hasStopped();
    }

    /** Returns the known state of all other members, ordered by name. */
    public List<MemberSnapshot> snapshot() {
        return members.members().values().stream()
                .map(member -> new MemberSnapshot(member.update(), member.sinceMillis(), member.source()))
                .sorted(Comparator.comparing(
                        snapshot -> snapshot.update().identity().name()))
                .toList();
    }

    /** Returns the current updates about all other known members, in no particular order. */
    public List<MemberUpdate> others() {
        return members.members().values().stream().map(MemberState::update).toList();
    }

    /** Returns the number of members that are alive or suspected, this one included. */
    public int presentCount() {
        return members.presentCount() + 1;
    }

    /** Returns the local health multiplier, 1 for a healthy member. */
    public double localHealthFactor() {
        return health.factor();
    }

    /** Returns a hash of all present members, this one included. */
    int digest() {
        return sender.digest();
    }

    // --- attributes

    /**
     * Publishes an attribute of this member.
     *
     * @param kind 0 to {@link MemberAttribute#MAX_KIND}
     * @param value 1 to {@link MemberAttribute#MAX_VALUE} bytes, or empty to withdraw the attribute
     * @param ttlMillis the time after which it expires unless it is renewed, 1,000 to {@link MemberAttribute#MAX_MILLIS}
     * @param renew whether this version is renewed until another is published
     * @return false if this member has published more than ten versions a second for long, which others would reject
     * @throws IllegalArgumentException if a parameter is out of its range
     */
    public boolean setAttribute(double nowMillis, int kind, byte[] value, double ttlMillis, boolean renew) {
        if (!(ttlMillis >= MIN_TTL_MILLIS)) {
            throw new IllegalArgumentException("attribute time to live " + ttlMillis + " ms, expected at least 1,000");
        }
        return attributes.publish(self(), kind, value, ttlMillis, renew, updates.unixMillis(nowMillis), nowMillis);
    }

    /** Returns the valid attributes of a kind of all present members, this one included, keyed by owner. */
    public Map<String, MemberAttribute> attributes(double nowMillis, int kind) {
        return attributes.current(kind, self(), members.members(), nowMillis);
    }

    // --- time

    /** Performs all actions that are due; to be called many times a protocol period. */
    public void onTick(double nowMillis) {
        if (hasLeft()) {
            return;
        }
        sender.setNow(nowMillis);
        double sinceLastTickMillis = nowMillis - lastTickAtMillis;
        if (sinceLastTickMillis > settings.probeIntervalMillis()) {
            failureDetector.onProcessPause(sinceLastTickMillis);
        }
        lastTickAtMillis = nowMillis;
        failureDetector.onTick(nowMillis);
        attributes.renewOwn(self(), nowMillis);
        dissemination.onTick(nowMillis);
        if (nowMillis - lastRejoinAtMillis >= REJOIN_PERIODS * settings.probeIntervalMillis()) {
            lastRejoinAtMillis = nowMillis;
            joinProtocol.tryToRejoin();
            removeDeparted(nowMillis);
        }
    }

    private void removeDeparted(double nowMillis) {
        for (String name : members.removeDepartedBefore(nowMillis - settings.forgetAfterMillis())) {
            updateQueue.remove(name);
            attributes.forget(name);
        }
    }

    /** Announces that this member leaves, and sends nothing afterwards. */
    public void leave(double nowMillis) {
        if (!hasLeft()) {
            joinProtocol.leave();
        }
    }

    // --- messages

    /** Handles a message that was received from an address. */
    public void onMessage(double nowMillis, MemberAddress from, Message message) {
        sender.setNow(nowMillis);
        MemberUpdate source = message.sender();
        if (hasLeft() || !source.identity().address().equals(from)) {
            return; // a member can't send from another member's address
        }
        String name = source.identity().name();
        if (localMember.hasName(name)) {
            onNameConflict(nowMillis, source);
            return;
        }
        boolean wasUnknown = members.get(name) == null;
        applyContent(nowMillis, message);
        failureDetector.onMessage(nowMillis, from, message);
        boolean isJoining = wasUnknown && source.status() == MemberStatus.ALIVE && members.get(name) != null;
        if (isJoining) {
            joinProtocol.sendMemberTable(from);
        } else {
            dissemination.synchronize(nowMillis, from, message);
        }
    }

    private void applyContent(double nowMillis, Message message) {
        updates.apply(message.sender(), nowMillis, message.sender().identity().name());
        for (MemberUpdate update : message.updates()) {
            updates.apply(update, nowMillis, "#" + update.reporterId());
        }
        for (MemberAttribute attribute : message.attributes()) {
            MemberState owner = members.get(attribute.owner());
            Incarnation incarnation =
                    owner != null && owner.status().isPresent() ? owner.update().incarnation() : null;
            attributes.onReceived(attribute, self(), incarnation, updates.unixMillis(nowMillis), nowMillis);
        }
    }

    /** Handles an update that another process with this member's name sent about itself. */
    private void onNameConflict(double nowMillis, MemberUpdate other) {
        if (localMember.onNameConflict(other, updates.unixMillis(nowMillis))) {
            sender.gossip(other.identity().address());
        } else if (hasLeft()) {
            output.onMembershipEvent(new MembershipEvent(
                    nowMillis, other, MemberStatus.ALIVE, other.identity().name()));
        }
    }

    /** Returns as text all state that the next steps depend on, except randomness, relative to {@code nowMillis}. */
    String state(double nowMillis) {
        return localMember.state(nowMillis)
                + health.factor()
                + " " + (nowMillis - lastTickAtMillis)
                + " " + (nowMillis - lastRejoinAtMillis)
                + " " + dissemination.state(nowMillis)
                + failureDetector.state(nowMillis)
                + updateQueue.state()
                + attributes.state(nowMillis)
                + members.state(nowMillis);
    }
}
