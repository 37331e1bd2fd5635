package rillyard.membership;

/** This member's own identity and incarnation, and its reactions to what others claim under its name. Not thread-safe. */
final class LocalMember {
    /** What an update under this member's name requires. */
    enum Reaction {
        /** Nothing. */
        NONE,
        /** This member has refuted the update: its own update has a new incarnation. */
        REFUTED,
        /** A later process may have the name; as only its own update counts, it is to be pinged. */
        PING
    }

    private final double pingIntervalMillis;
    private MemberUpdate update;
    private boolean silent;
    private double pingedAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates a member that has just started.
     *
     * @param startedUnix the Unix time (ms) of its start
     * @param pingIntervalMillis least time between two pings to processes of the same name
     */
    LocalMember(MemberIdentity identity, long startedUnix, double pingIntervalMillis) {
        this.pingIntervalMillis = pingIntervalMillis;
        this.update = new MemberUpdate(
                identity,
                new Incarnation(startedUnix, 0),
                MemberStatus.ALIVE,
                MemberUpdate.reporterId(identity.name()));
    }

    /** Returns this member's update about itself. */
    MemberUpdate update() {
        return update;
    }

    String name() {
        return update.identity().name();
    }

    /** Returns whether it has left, or another process has its name. */
    boolean isSilent() {
        return silent;
    }

    boolean hasName(String name) {
        return name().equals(name);
    }

    /** Changes its update to its last one. */
    void leave() {
        update = new MemberUpdate(update.identity(), update.incarnation(), MemberStatus.LEFT, update.reporterId());
    }

    void fallSilent() {
        silent = true;
    }

    /**
     * Handles an update that a process of the same name sent itself: the process that started later has the name.
     *
     * @return whether this process started later
     */
    boolean onNamesake(MemberUpdate other, long unixNow) {
        long otherStart = other.incarnation().startedAtMillis();
        long ownStart = update.incarnation().startedAtMillis();
        if (otherStart > ownStart && IncarnationValidator.isPlausible(other.incarnation(), null, unixNow)) {
            silent = true;
        }
        return otherStart < ownStart;
    }

    /** Handles an update about this member's name that others pass on, and refutes it where it is wrong. */
    Reaction onUpdate(MemberUpdate claimed, double now, long unixNow) {
        Incarnation own = update.incarnation();
        if (!IncarnationValidator.isPlausible(claimed.incarnation(), own, unixNow)) {
            return Reaction.NONE; // nobody but this member can have created it
        }
        if (mayBeSuccessor(claimed)) {
            if (now - pingedAt < pingIntervalMillis) {
                return Reaction.NONE;
            }
            pingedAt = now;
            return Reaction.PING;
        }
        boolean isLater = claimed.incarnation().compareTo(own) > 0;
        boolean isWrong =
                claimed.status() != MemberStatus.ALIVE && claimed.incarnation().equals(own);
        if (!isLater && !isWrong) {
            return Reaction.NONE;
        }
        Incarnation refuting = (isLater ? claimed.incarnation() : own).next();
        update = new MemberUpdate(update.identity(), refuting, MemberStatus.ALIVE, update.reporterId());
        return Reaction.REFUTED;
    }

    /**
     * Returns whether an update may be of a process that took over the name.
     *
     * <p>At the same address a later start is one of an earlier process, after which the machine's clock was set back.
     */
    private boolean mayBeSuccessor(MemberUpdate claimed) {
        return claimed.incarnation().startedAtMillis() > update.incarnation().startedAtMillis()
                && !claimed.identity().address().equals(update.identity().address())
                && claimed.status().isPresent();
    }

    /** Describes the state for the model checker; times are relative to the given one. */
    String state(double now) {
        return update + " " + silent + (now - pingedAt);
    }
}
