package rillyard.membership;

import java.util.ArrayList;
import java.util.List;
import rillyard.membership.Message.Kind;

/** Fills datagrams: first what the question is about, then news, facts, and whatever else there is room for. */
final class MessageAssembler {
    /** Names that a datagram may be filled up with. */
    private static final int FILL = 12;

    /** Facts are passed on so much less often than news: they are said again anyway. */
    private static final double FACTS = 2 / 3.0;

    /** This share of a datagram is kept for facts that are new, so that much news can't crowd them out. */
    private static final double KEPT = 0.25;

    private final MembershipSettings settings;
    private final MemberTable roster;
    private final UpdateQueue gossip;
    private final AttributeStore facts;
    private final Membership.Output out;

    MessageAssembler(
            MembershipSettings settings,
            MemberTable roster,
            UpdateQueue gossip,
            AttributeStore facts,
            Membership.Output out) {
        this.settings = settings;
        this.roster = roster;
        this.gossip = gossip;
        this.facts = facts;
        this.out = out;
    }

    /** A number for all that the member and its roster hold present. */
    int digest(MemberUpdate self) {
        return roster.digest() + MemberTable.mark(self);
    }

    /** Sends a message with as much news as there is room for. */
    void send(
            MemberUpdate self,
            double now,
            Kind kind,
            int sequence,
            MemberAddress to,
            String target,
            MemberAddress targetAt) {
        List<String> first = new ArrayList<>(1);
        MemberState about = target.isEmpty() ? null : roster.get(target);
        if (about != null
                && (about.status() != MemberStatus.ALIVE
                        || !about.word.identity().address().equals(to))) {
            first.add(target); // it hears first what is believed of it, or who has its name now
        }
        int room = settings.datagramBytes() - MessageCodec.emptySize(self, target, targetAt != null);
        int transmits = settings.transmits(roster.present() + 1);
        int kept = facts.urgent() ? (int) (KEPT * room) : 0;
        List<MemberUpdate> news = gossip.pick(roster.beliefs(), first, room - kept, transmits);
        room -= news.stream().mapToInt(MessageCodec::size).sum();
        List<MemberAttribute> told = facts.pick(room, (int) Math.ceil(FACTS * transmits), now);
        room -= told.stream().mapToInt(MemberAttribute::size).sum();
        gossip.fill(roster.beliefs(), news, room, roster.fill(FILL));
        out.send(to, new Message(kind, sequence, digest(self), self, target, targetAt, news, told));
    }

    /** Tells what is held of all, as far as so many datagrams go. */
    void pages(MemberUpdate self, MemberAddress to, int most) {
        int room = settings.datagramBytes() - MessageCodec.emptySize(self, "", false);
        int told = 0;
        for (int i = 0; i < most && told < roster.beliefs().size(); i++) {
            List<MemberUpdate> page = roster.page(room);
            told += page.size();
            out.send(to, new Message(Kind.NEWS, 0, digest(self), self, "", null, page, List.of()));
        }
    }
}
