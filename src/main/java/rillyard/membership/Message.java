package rillyard.membership;

import java.util.List;

/**
 * One datagram.
 *
 * @param sequence which question it asks or answers
 * @param sender the sender's word about itself
 * @param target for a question, whom it is for; empty for anybody at that address, and in answers
 * @param targetAt where the target is, for {@link Kind#ASK_FOR_ME}; else null
 * @param digest of the members that the sender holds present, as {@link MemberTable#digest}
 * @param updates words about others
 * @param attributes that members say of themselves
 */
public record Message(
        Kind kind,
        int sequence,
        int digest,
        MemberUpdate sender,
        String target,
        MemberAddress targetAt,
        List<MemberUpdate> updates,
        List<MemberAttribute> attributes) {
    /** Without facts. */
    public Message(
            Kind kind,
            int sequence,
            int digest,
            MemberUpdate sender,
            String target,
            MemberAddress targetAt,
            List<MemberUpdate> news) {
        this(kind, sequence, digest, sender, target, targetAt, news, List.of());
    }

    /** What a datagram is for. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** The one asked for is there. */
        ACK,
        /** Ask the target for me, and tell me. */
        ASK_FOR_ME,
        /** It has not answered me either, but I am there. */
        NACK,
        /** Nothing but news. */
        NEWS
    }
}
