package rillyard.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * One member of the fleet, and what it knows of the others.
 *
 * <p>The caller passes messages and the time; the member acts through {@link Output}. Times are milliseconds since its
 * process started, by a clock that never goes back. Not thread-safe.
 */
public final class Membership {
    /** Receives what the member does. */
    public interface Output {
        /** Sends a message, which may be lost. */
        void send(MemberAddress to, Message message);

        /** Is called when the status of a member has changed. */
        void onMembershipEvent(MembershipEvent change);
    }

    /** Protocol periods between two attempts to reach dead members and seeds. */
    private static final int REACH_OUT_PERIODS = 2;

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
    private double lastTickAt = Double.NaN;
    private double lastReachOutAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates a member that knows no other.
     *
     * @param startedUnix the Unix time (ms) of the start of its process
     * @param seeds addresses of members, for joining and after a partition
     * @param random its only source of randomness
     */
    public Membership(
            MembershipSettings settings,
            MemberIdentity identity,
            long startedUnix,
            List<MemberAddress> seeds,
            RandomGenerator random,
            Output output) {
        this.settings = settings;
        this.output = output;
        this.localMember = new LocalMember(identity, startedUnix, settings.probeIntervalMillis());
        this.members = new MemberTable(random);
        this.sender = new MessageSender(settings, localMember, members, updateQueue, attributes, output);
        this.updates = new UpdateProcessor(settings, localMember, health, members, updateQueue, sender, output);
        this.failureDetector = new FailureDetector(settings, localMember, health, members, updates, sender, random);
        this.dissemination = new Dissemination(settings, members, updateQueue, attributes, sender);
        this.joinProtocol = new JoinProtocol(seeds, localMember, members, sender, random);
    }

    // --- what it knows

    /** Returns this member's update about itself. */
    public MemberUpdate self() {
        return localMember.update();
    }

    /** Returns whether it has left, or another process has its name; it sends nothing any more. */
    public boolean hasLeft() {
        return localMember.isSilent();
    }

    /** Returns what is known of all other members, in the order of their names. */
    public List<MemberSnapshot> snapshot() {
        return members.members().values().stream()
                .map(member -> new MemberSnapshot(member.update(), member.sinceMillis(), member.source()))
                .sorted(Comparator.comparing(
                        snapshot -> snapshot.update().identity().name()))
                .toList();
    }

    /** Returns the updates that hold for all other known members, in no order. */
    public List<MemberUpdate> others() {
        return members.members().values().stream().map(MemberState::update).toList();
    }

    /** Returns how many members are alive or suspected, this one included. */
    public int presentCount() {
        return members.presentCount() + 1;
    }

    /** Returns the local health multiplier, 1 for a healthy member. */
    public double localHealthFactor() {
        return health.factor();
    }

    /** Returns a number for all members that are present, this one included. */
    int digest() {
        return sender.digest();
    }

    // --- attributes

    /**
     * Publishes an attribute of this member.
     *
     * @param kind 0 to {@link MemberAttribute#MAX_KIND}
     * @param value 1 to {@link MemberAttribute#MAX_VALUE} bytes, or none to withdraw it
     * @param ttlMillis the time after which it expires unless it is renewed, 1,000 to {@link MemberAttribute#MAX_MILLIS}
     * @param renew whether it is renewed until it is published otherwise
     * @return false if this member publishes more than ten a second for long, which others would reject
     * @throws IllegalArgumentException if a parameter is out of its range
     */
    public boolean setAttribute(double now, int kind, byte[] value, double ttlMillis, boolean renew) {
        if (!(ttlMillis >= MIN_TTL_MILLIS)) {
            throw new IllegalArgumentException("time to live " + ttlMillis + " ms, expected 1,000 and more");
        }
        return attributes.publish(self(), kind, value, ttlMillis, renew, updates.unixTime(now), now);
    }

    /** Returns the attributes of a kind that members that are present, this one included, have published, by owner. */
    public Map<String, MemberAttribute> attributes(double now, int kind) {
        return attributes.current(kind, self(), members.members(), now);
    }

    // --- time

    /** Does what is due; to be called many times a protocol period. */
    public void onTick(double now) {
        if (hasLeft()) {
            return;
        }
        sender.setNow(now);
        double sinceLastTick = now - lastTickAt;
        if (sinceLastTick > settings.probeIntervalMillis()) {
            failureDetector.onProcessPause(sinceLastTick);
        }
        lastTickAt = now;
        failureDetector.onTick(now);
        attributes.renewOwn(self(), now);
        dissemination.onTick(now);
        if (now - lastReachOutAt >= REACH_OUT_PERIODS * settings.probeIntervalMillis()) {
            lastReachOutAt = now;
            joinProtocol.reachOut();
            removeDeparted(now);
        }
    }

    private void removeDeparted(double now) {
        for (String name : members.removeDepartedBefore(now - settings.forgetAfterMillis())) {
            updateQueue.remove(name);
            attributes.forget(name);
        }
    }

    /** Announces that this member leaves, and sends nothing afterwards. */
    public void leave(double now) {
        if (!hasLeft()) {
            joinProtocol.leave();
        }
    }

    // --- messages

    /** Handles a message that came from an address. */
    public void onMessage(double now, MemberAddress from, Message message) {
        sender.setNow(now);
        MemberUpdate source = message.sender();
        if (hasLeft() || !source.identity().address().equals(from)) {
            return; // a member can't send from another member's address
        }
        String name = source.identity().name();
        if (localMember.hasName(name)) {
            onNamesake(now, source);
            return;
        }
        boolean wasUnknown = members.get(name) == null;
        applyContent(now, message);
        failureDetector.onMessage(now, from, message);
        boolean isJoining = wasUnknown && source.status() == MemberStatus.ALIVE && members.get(name) != null;
        if (isJoining) {
            joinProtocol.welcome(from);
        } else {
            dissemination.synchronize(now, from, message);
        }
    }

    private void applyContent(double now, Message message) {
        updates.apply(message.sender(), now, message.sender().identity().name());
        for (MemberUpdate update : message.updates()) {
            updates.apply(update, now, "#" + update.reporterId());
        }
        for (MemberAttribute attribute : message.attributes()) {
            MemberState owner = members.get(attribute.owner());
            Incarnation incarnation =
                    owner != null && owner.status().isPresent() ? owner.update().incarnation() : null;
            attributes.onReceived(attribute, self(), incarnation, updates.unixTime(now), now);
        }
    }

    /** Handles an update that a process with this member's name sent itself. */
    private void onNamesake(double now, MemberUpdate other) {
        if (localMember.onNamesake(other, updates.unixTime(now))) {
            sender.gossip(other.identity().address());
        } else if (hasLeft()) {
            output.onMembershipEvent(new MembershipEvent(
                    now, other, MemberStatus.ALIVE, other.identity().name()));
        }
    }

    /** Describes for the model checker all that its next steps depend on but randomness, relative to the given time. */
    String state(double now) {
        return localMember.state(now)
                + health.factor()
                + " " + (now - lastTickAt)
                + " " + (now - lastReachOutAt)
                + " " + dissemination.state(now)
                + failureDetector.state(now)
                + updateQueue.state()
                + attributes.state(now)
                + members.state(now);
    }
}
