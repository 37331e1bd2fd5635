package rillyard.membership;

import java.util.ArrayList;
import java.util.List;
import rillyard.membership.Message.Kind;

/**
 * Sends messages and piggybacks updates and attributes on them, as far as the datagram has capacity.
 *
 * <p>The update about the target comes first if the target has to learn of it, then queued updates, attributes and
 * random other updates, so that all member tables converge whatever was lost. Not thread-safe.
 */
final class MessageSender {
    /** Maximum number of random updates with which a datagram is filled. */
    private static final int MAX_FILL_UPDATES = 12;

    /** Transmissions of attributes relative to updates; fewer suffice, as attributes are renewed. */
    private static final double ATTRIBUTE_TRANSMISSION_SHARE = 2 / 3.0;

    /** Fraction of a datagram that is reserved for new attributes, so that many updates don't displace them. */
    private static final double RESERVED_ATTRIBUTE_SHARE = 0.25;

    private final MembershipSettings settings;
    private final LocalMember localMember;
    private final MemberTable members;
    private final UpdateQueue updates;
    private final AttributeStore attributes;
    private final Membership.Output output;
    private int lastSequence;
    private double nowMillis;

    MessageSender(
            MembershipSettings settings,
            LocalMember localMember,
            MemberTable members,
            UpdateQueue updates,
            AttributeStore attributes,
            Membership.Output output) {
        this.settings = settings;
        this.localMember = localMember;
        this.members = members;
        this.updates = updates;
        this.attributes = attributes;
        this.output = output;
    }

    /** Sets the current time, for the ages of attributes that are sent. */
    void setNow(double nowMillis) {
        this.nowMillis = nowMillis;
    }

    int nextSequence() {
        return ++lastSequence;
    }

    int lastSequence() {
        return lastSequence;
    }

    /** Returns a hash of all present members, this one included. */
    int digest() {
        return members.digest() + MemberTable.digestOf(localMember.update());
    }

    /** Pings a member with a new sequence number. */
    void ping(MemberAddress address, String name) {
        send(Kind.PING, nextSequence(), address, name);
    }

    /** Sends updates and attributes only. */
    void gossip(MemberAddress to) {
        send(Kind.GOSSIP, 0, to, "");
    }

    /** Sends a message of any kind but a ping request. */
    void send(Kind kind, int sequence, MemberAddress to, String target) {
        send(kind, sequence, to, target, null);
    }

    /** Asks a helper to ping a target. */
    void requestPing(int sequence, MemberAddress helper, MemberIdentity target) {
        send(Kind.PING_REQUEST, sequence, helper, target.name(), target.address());
    }

    private void send(Kind kind, int sequence, MemberAddress to, String target, MemberAddress targetAddress) {
        MemberUpdate self = localMember.update();
        int capacity = settings.datagramBytes() - MessageCodec.emptySize(self, target, targetAddress != null);
        int maxTransmissions = settings.maxTransmissions(members.presentCount() + 1);
        int reservedBytes = attributes.hasNew() ? (int) (RESERVED_ATTRIBUTE_SHARE * capacity) : 0;

        List<MemberUpdate> selectedUpdates =
                updates.select(members.members(), firstUpdates(to, target), capacity - reservedBytes, maxTransmissions);
        capacity -= selectedUpdates.stream().mapToInt(MessageCodec::size).sum();

        int maxAttributeTransmissions = (int) Math.ceil(ATTRIBUTE_TRANSMISSION_SHARE * maxTransmissions);
        List<MemberAttribute> selectedAttributes = attributes.select(capacity, maxAttributeTransmissions, nowMillis);
        capacity -= selectedAttributes.stream().mapToInt(MemberAttribute::size).sum();

        List<String> fill = members.namesFromRandomPosition(MAX_FILL_UPDATES);
        updates.fill(members.members(), selectedUpdates, capacity, fill);
        output.send(
                to,
                new Message(
                        kind, sequence, digest(), self, target, targetAddress, selectedUpdates, selectedAttributes));
    }

    /** Returns the target's name if it has to learn that it is not alive in the table, or has another address there. */
    private List<String> firstUpdates(MemberAddress to, String target) {
        List<String> first = new ArrayList<>(1);
        MemberState known = target.isEmpty() ? null : members.get(target);
        if (known != null
                && (known.status() != MemberStatus.ALIVE || !known.address().equals(to))) {
            first.add(target);
        }
        return first;
    }

    /** Sends the member table in up to {@code maxDatagrams} datagrams, as far as it fits. */
    void sendPages(MemberAddress to, int maxDatagrams) {
        MemberUpdate self = localMember.update();
        int capacity = settings.datagramBytes() - MessageCodec.emptySize(self, "", false);
        int sent = 0;
        for (int i = 0; i < maxDatagrams && sent < members.members().size(); i++) {
            List<MemberUpdate> page = members.nextPage(capacity);
            sent += page.size();
            output.send(to, new Message(Kind.GOSSIP, 0, digest(), self, "", null, page, List.of()));
        }
    }
}
