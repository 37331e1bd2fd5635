package rillyard.membership;

/**
 * Applies updates to the member table: decides which of them hold, queues those for others and reports changes of
 * status. Refutes wrong updates about this member itself. Not thread-safe.
 */
final class UpdateProcessor {
    private final MembershipSettings settings;
    private final LocalMember localMember;
    private final LocalHealth health;
    private final MemberTable members;
    private final UpdateQueue queue;
    private final MessageSender sender;
    private final Membership.Output output;
    private final long startedUnix;

    /** Creates a processor; the local member must not have refuted anything yet, as its start is taken from it. */
    UpdateProcessor(
            MembershipSettings settings,
            LocalMember localMember,
            LocalHealth health,
            MemberTable members,
            UpdateQueue queue,
            MessageSender sender,
            Membership.Output output) {
        this.settings = settings;
        this.localMember = localMember;
        this.health = health;
        this.members = members;
        this.queue = queue;
        this.sender = sender;
        this.output = output;
        this.startedUnix = localMember.update().incarnation().startedAtMillis();
    }

    /** Returns this machine's Unix time (ms). */
    long unixTime(double now) {
        return startedUnix + (long) now;
    }

    /**
     * Applies an update of whatever origin.
     *
     * @param source who reported it, as {@link MembershipEvent#source}
     */
    void apply(MemberUpdate update, double now, String source) {
        if (localMember.hasName(update.identity().name())) {
            applyToSelf(update, now);
            return;
        }
        MemberState member = members.get(update.identity().name());
        Incarnation known = member == null ? null : member.update().incarnation();
        if (!IncarnationValidator.isPlausible(update.incarnation(), known, unixTime(now))) {
            return;
        }
        if (member == null) {
            add(update, now, source);
        } else if (update.overrides(member.update())) {
            override(member, update, now, source);
        } else if (isConfirmation(update, member) && member.addSuspector(update.reporterId())) {
            member.confirm(update); // an independent suspicion is passed on as well
            queue.enqueue(update.identity().name());
        }
    }

    private void applyToSelf(MemberUpdate update, double now) {
        switch (localMember.onUpdate(update, now, unixTime(now))) {
            case REFUTED -> health.degrade(1);
            case PING -> sender.ping(update.identity().address(), localMember.name());
            case NONE -> {}
            default -> throw new AssertionError();
        }
    }

    private void add(MemberUpdate update, double now, String source) {
        if (update.status().isPresent() && members.members().size() < settings.maxMembers()) {
            MemberState member = new MemberState(update, now);
            members.add(member);
            onChanged(member, now, null, source);
        }
    }

    private static boolean isConfirmation(MemberUpdate update, MemberState member) {
        return member.status() == MemberStatus.SUSPECT
                && update.status() == MemberStatus.SUSPECT
                && update.incarnation().equals(member.update().incarnation());
    }

    /** Applies an update of this member's own about a known member, which overrides the present one. */
    void override(MemberState member, MemberUpdate update, double now, String source) {
        MemberStatus previous = member.status();
        members.override(member, update, now);
        onChanged(member, now, previous, source);
    }

    private void onChanged(MemberState member, double now, MemberStatus previous, String source) {
        member.setSource(source);
        if (member.status() == MemberStatus.SUSPECT) {
            member.addSuspector(member.update().reporterId());
        }
        queue.enqueue(member.name());
        if (member.status() != previous) {
            output.onMembershipEvent(new MembershipEvent(now, member.update(), previous, source));
        }
    }
}
