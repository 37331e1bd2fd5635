package rillyard.membership;

/**
 * Applies updates to the member table: determines which of them are valid, queues those for other members and reports
 * status changes. Refutes wrong updates about this member itself. Not thread-safe.
 */
final class UpdateProcessor {
    private final MembershipSettings settings;
    private final LocalMember localMember;
    private final LocalHealth health;
    private final MemberTable members;
    private final UpdateQueue queue;
    private final MessageSender sender;
    private final Membership.Output output;
    private final long startedUnixMillis;

    /** Creates a processor; the local member must not have refuted anything yet, as its incarnation has the start. */
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
        this.startedUnixMillis = localMember.update().incarnation().startedAtMillis();
    }

    /** Converts a time of this member to the Unix time. */
    long unixMillis(double nowMillis) {
        return startedUnixMillis + (long) nowMillis;
    }

    /**
     * Applies an update from any source.
     *
     * @param source the source of the update, as {@link MembershipEvent#source}
     */
    void apply(MemberUpdate update, double nowMillis, String source) {
        if (localMember.hasName(update.identity().name())) {
            applyToSelf(update, nowMillis);
            return;
        }
        MemberState member = members.get(update.identity().name());
        Incarnation known = member == null ? null : member.update().incarnation();
        if (!IncarnationValidator.isPlausible(update.incarnation(), known, unixMillis(nowMillis))) {
            return;
        }
        if (member == null) {
            add(update, nowMillis, source);
        } else if (update.overrides(member.update())) {
            override(member, update, nowMillis, source);
        } else if (isConfirmation(update, member) && member.addSuspector(update.reporterId())) {
            member.confirm(update); // an independent suspicion is passed on as well
            queue.enqueue(update.identity().name());
        }
    }

    private void applyToSelf(MemberUpdate update, double nowMillis) {
        switch (localMember.onUpdate(update, nowMillis, unixMillis(nowMillis))) {
            case REFUTED -> health.degrade(1);
            case PING -> sender.ping(update.identity().address(), localMember.name());
            case NONE -> {}
            default -> throw new AssertionError();
        }
    }

    private void add(MemberUpdate update, double nowMillis, String source) {
        if (update.status().isPresent() && members.members().size() < settings.maxMembers()) {
            MemberState member = new MemberState(update, nowMillis);
            members.add(member);
            onChanged(member, nowMillis, null, source);
        }
    }

    private static boolean isConfirmation(MemberUpdate update, MemberState member) {
        return member.status() == MemberStatus.SUSPECT
                && update.status() == MemberStatus.SUSPECT
                && update.incarnation().equals(member.update().incarnation());
    }

    /** Applies an update about a known member that overrides the current one. */
    void override(MemberState member, MemberUpdate update, double nowMillis, String source) {
        MemberStatus previous = member.status();
        members.override(member, update, nowMillis);
        onChanged(member, nowMillis, previous, source);
    }

    private void onChanged(MemberState member, double nowMillis, MemberStatus previous, String source) {
        member.setSource(source);
        if (member.status() == MemberStatus.SUSPECT) {
            member.addSuspector(member.update().reporterId());
        }
        queue.enqueue(member.name());
        if (member.status() != previous) {
            output.onMembershipEvent(new MembershipEvent(nowMillis, member.update(), previous, source));
        }
    }
}
