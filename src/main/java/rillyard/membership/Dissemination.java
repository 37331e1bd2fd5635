package rillyard.membership;

import rillyard.membership.Message.Kind;

/**
 * Sends updates and attributes in addition to those that probes piggyback: gossip rounds while something is queued, and
 * pages of the member table to members whose table differs (anti-entropy). Not thread-safe.
 */
final class Dissemination {
    /** Number of members that receive gossip in a round. */
    private static final int GOSSIP_FANOUT = 3;

    private static final double GOSSIP_ROUNDS_PER_PERIOD = 2.5;

    /** Maximum datagrams that are sent in a protocol period to a member whose table differs. */
    private static final int MAX_SYNC_PAGES = 8;

    private final MembershipSettings settings;
    private final MemberTable members;
    private final UpdateQueue updates;
    private final AttributeStore attributes;
    private final MessageSender sender;
    private double lastGossipAtMillis = Double.NEGATIVE_INFINITY;
    private double lastSyncAtMillis = Double.NEGATIVE_INFINITY;

    Dissemination(
            MembershipSettings settings,
            MemberTable members,
            UpdateQueue updates,
            AttributeStore attributes,
            MessageSender sender) {
        this.settings = settings;
        this.members = members;
        this.updates = updates;
        this.attributes = attributes;
        this.sender = sender;
    }

    /** Begins a gossip round if one is due and something is queued. */
    void onTick(double nowMillis) {
        boolean hasPending = !updates.isEmpty() || attributes.hasNew();
        if (hasPending && nowMillis - lastGossipAtMillis >= settings.probeIntervalMillis() / GOSSIP_ROUNDS_PER_PERIOD) {
            lastGossipAtMillis = nowMillis;
            members.pickRandom(GOSSIP_FANOUT, "", true).forEach(member -> sender.gossip(member.address()));
        }
    }

    /** Sends pages of the member table to the sender of a message other than gossip if its table differs. */
    void synchronize(double nowMillis, MemberAddress from, Message message) {
        if (message.kind() != Kind.GOSSIP
                && message.digest() != sender.digest()
                && nowMillis - lastSyncAtMillis >= settings.probeIntervalMillis()) {
            lastSyncAtMillis = nowMillis;
            sender.sendPages(from, MAX_SYNC_PAGES);
        }
    }

    /** Returns the state as text for the model checker, with times relative to {@code nowMillis}. */
    String state(double nowMillis) {
        return (nowMillis - lastSyncAtMillis) + " " + (nowMillis - lastGossipAtMillis);
    }
}
