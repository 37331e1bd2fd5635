package rillyard.membership;

import java.util.List;

/**
 * The content of a datagram.
 *
 * @param kind the kind of message
 * @param sequence the sequence number of the ping that it is, requests or responds to; 0 for gossip
 * @param digest the hash of the members that are present for the sender, itself included, as {@link Membership#digest}
 * @param sender the sender's update about itself
 * @param target the name of the member that a ping is for; empty for any member at that address
 * @param targetAddress the address of the target for {@link Kind#PING_REQUEST}; else null
 * @param updates updates about other members
 * @param attributes attributes of members
 */
public record Message(
        Kind kind,
        int sequence,
        int digest,
        MemberUpdate sender,
        String target,
        MemberAddress targetAddress,
        List<MemberUpdate> updates,
        List<MemberAttribute> attributes) {
    /** Creates a message without attributes. */
    public Message(
            Kind kind,
            int sequence,
            int digest,
            MemberUpdate sender,
            String target,
            MemberAddress targetAddress,
            List<MemberUpdate> updates) {
        this(kind, sequence, digest, sender, target, targetAddress, updates, List.of());
    }

    /** Kinds of messages. */
    public enum Kind {
        /** Asks the target for an ack. */
        PING(0),
        /** Responds to a ping, directly or forwarded by a helper. */
        ACK(1),
        /** Asks a helper to ping the target (indirect probe). */
        PING_REQUEST(2),
        /** Notifies the requester of an indirect probe that the target did not respond to the helper either. */
        NACK(3),
        /** Carries updates and attributes only. */
        GOSSIP(4);

        private final int code;

        Kind(int code) {
            this.code = code;
        }

        /** Returns the code of the kind in datagrams. */
        int code() {
            return code;
        }

        /**
         * Returns the kind with a code.
         *
         * @throws IllegalArgumentException if there is none
         */
        static Kind ofCode(int code) {
            return switch (code) {
                case 0 -> PING;
                case 1 -> ACK;
                case 2 -> PING_REQUEST;
                case 3 -> NACK;
                case 4 -> GOSSIP;
                default -> throw new IllegalArgumentException("message kind code " + code + ", expected 0 to 4");
            };
        }
    }
}
