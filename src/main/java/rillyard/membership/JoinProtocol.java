package rillyard.membership;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Joins the fleet through its seeds, rejoins parts of it after a partition, and sends the member table to members that
 * join. Not thread-safe.
 */
final class JoinProtocol {
    /** Maximum datagrams of the member table for a joining member, about 300 members; gossip delivers the rest. */
    private static final int JOIN_PAGES = 32;

    /** Number of members that are notified directly when this one leaves. */
    private static final int LEAVE_FANOUT = 6;

    private final List<MemberAddress> seeds;
    private final LocalMember localMember;
    private final MemberTable members;
    private final MessageSender sender;
    private final RandomGenerator random;

    JoinProtocol(
            List<MemberAddress> seeds,
            LocalMember localMember,
            MemberTable members,
            MessageSender sender,
            RandomGenerator random) {
        this.seeds = List.copyOf(seeds);
        this.localMember = localMember;
        this.members = members;
        this.sender = sender;
        this.random = random;
    }

    /** Pings a dead member, and a seed at whose address no member is present, so that a partition heals. */
    void tryToRejoin() {
        MemberState dead = members.pickRandomDead();
        if (dead != null) {
            sender.ping(dead.address(), dead.name());
        }
        if (!seeds.isEmpty()) {
            MemberAddress seed = seeds.get(random.nextInt(seeds.size()));
            if (!isKnown(seed)) {
                sender.ping(seed, "");
            }
        }
    }

    private boolean isKnown(MemberAddress address) {
        return address.equals(localMember.update().identity().address())
                || members.members().values().stream()
                        .anyMatch(member ->
                                member.status().isPresent() && member.address().equals(address));
    }

    /** Sends the member table to a joining member. */
    void sendMemberTable(MemberAddress address) {
        sender.sendPages(address, JOIN_PAGES);
    }

    /** Announces that this member leaves, and stops it. */
    void leave() {
        localMember.leave();
        for (MemberState member : members.pickRandom(LEAVE_FANOUT, "", false)) {
            sender.gossip(member.address());
        }
        localMember.stop();
    }
}
