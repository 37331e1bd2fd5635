package rillyard.membership;

import java.util.ArrayList;
import java.util.List;
import rillyard.membership.Message.Kind;

/**
 * Sends messages and piggybacks updates and attributes on them, as far as the datagram has capacity.
 *
 * <p>First comes what is known of the target, then queued updates, attributes, and further updates at random, so that
 * all member tables converge whatever was lost. Not thread-safe.
 */
final class MessageSender {
    /** Updates at random that a datagram may be filled with. */
    private static final int MAX_FILL = 12;

    /** Transmissions of attributes relative to updates; attributes are renewed anyway. */
    private static final double ATTRIBUTE_TRANSMISSIONS = 2 / 3.0;

    /** Share of a datagram that is reserved for new attributes, so that many updates don't displace them. */
    private static final double ATTRIBUTE_SHARE = 0.25;

    private final MembershipSettings settings;
    private final LocalMember localMember;
    private final MemberTable members;
    private final UpdateQueue updates;
    private final AttributeStore attributes;
    private final Membership.Output output;
    private int lastSequence;
    private double now;

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

    /** Sets the present time, from which the ages of attributes count. */
    void setNow(double now) {
        this.now = now;
    }

    int nextSequence() {
        return ++lastSequence;
    }

    int lastSequence() {
        return lastSequence;
    }

    /** Returns a number for all members that are present, this one included. */
    int digest() {
        return members.digest() + MemberTable.digestOf(localMember.update());
    }

    /** Pings a member under a new sequence number. */
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
        int maxTransmissions = settings.transmits(members.presentCount() + 1);
        int reserved = attributes.hasNew() ? (int) (ATTRIBUTE_SHARE * capacity) : 0;

        List<MemberUpdate> selectedUpdates =
                updates.select(members.members(), firstUpdates(to, target), capacity - reserved, maxTransmissions);
        capacity -= selectedUpdates.stream().mapToInt(MessageCodec::size).sum();

        int maxAttributeTransmissions = (int) Math.ceil(ATTRIBUTE_TRANSMISSIONS * maxTransmissions);
        List<MemberAttribute> selectedAttributes = attributes.select(capacity, maxAttributeTransmissions, now);
        capacity -= selectedAttributes.stream().mapToInt(MemberAttribute::size).sum();

        List<String> fill = members.namesFromRandomPosition(MAX_FILL);
        updates.fill(members.members(), selectedUpdates, capacity, fill);
        output.send(
                to,
                new Message(
                        kind, sequence, digest(), self, target, targetAddress, selectedUpdates, selectedAttributes));
    }

    /** Returns the target's name if it must learn its own status first, or who has its name now. */
    private List<String> firstUpdates(MemberAddress to, String target) {
        List<String> first = new ArrayList<>(1);
        MemberState known = target.isEmpty() ? null : members.get(target);
        if (known != null
                && (known.status() != MemberStatus.ALIVE || !known.address().equals(to))) {
            first.add(target);
        }
        return first;
    }

    /** Sends the member table, as far as so many datagrams have capacity for it. */
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
