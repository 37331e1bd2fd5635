package rillyard.membership;

import rillyard.membership.Message.Kind;

/**
 * Spreads updates and attributes beyond what probes piggyback: gossip rounds while something is queued, and pages of the
 * member table for members whose table differs (anti-entropy). Not thread-safe.
 */
final class Dissemination {
    /** Members that receive gossip in a round. */
    private static final int GOSSIP_FANOUT = 3;

    /** Gossip rounds in a protocol period. */
    private static final double GOSSIP_ROUNDS = 2.5;

    /** Datagrams in a protocol period for members whose table differs. */
    private static final int SYNC_PAGES = 8;

    private final MembershipSettings settings;
    private final MemberTable members;
    private final UpdateQueue updates;
    private final AttributeStore attributes;
    private final MessageSender sender;
    private double lastGossipAt = Double.NEGATIVE_INFINITY;
    private double lastSyncAt = Double.NEGATIVE_INFINITY;

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
    void onTick(double now) {
        boolean hasPending = !updates.isEmpty() || attributes.hasNew();
        if (hasPending && now - lastGossipAt >= settings.probeIntervalMillis() / GOSSIP_ROUNDS) {
            lastGossipAt = now;
            members.pickRandom(GOSSIP_FANOUT, "", true).forEach(member -> sender.gossip(member.address()));
        }
    }

    /** Sends pages of the member table to the sender of a message whose table differs, unless it was gossip. */
    void synchronize(double now, MemberAddress from, Message message) {
        if (message.kind() != Kind.GOSSIP
                && message.digest() != sender.digest()
                && now - lastSyncAt >= settings.probeIntervalMillis()) {
            lastSyncAt = now;
            sender.sendPages(from, SYNC_PAGES);
        }
    }

    /** Describes the state for the model checker; times are relative to the given one. */
    String state(double now) {
        return (now - lastSyncAt) + " " + (now - lastGossipAt);
    }
}
