package rillyard.membership;

/** Holds this member's update about itself, and handles the updates of others about its name. Not thread-safe. */
final class LocalMember {
    /** The action that an update about this member's name requires. */
    enum Reaction {
        /** No action. */
        NONE,
        /** This member has refuted the update: its own update has a new incarnation. */
        REFUTED,
        /** A later process may have taken the name; it has to be pinged, as only its own update is decisive. */
        PING
    }

    private final double pingIntervalMillis;
    private MemberUpdate update;
    private boolean stopped;
    private double pingedAtMillis = Double.NEGATIVE_INFINITY;

    /**
     * Creates a member that has just started.
     *
     * @param startedUnixMillis the Unix time of its start
     * @param pingIntervalMillis minimum time between two pings to other processes with this name
     */
    LocalMember(MemberIdentity identity, long startedUnixMillis, double pingIntervalMillis) {
        this.pingIntervalMillis = pingIntervalMillis;
        this.update = new MemberUpdate(
                identity,
                new Incarnation(startedUnixMillis, 0),
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

    /** Returns whether this member sends nothing any more: it has left, or a later process has its name. */
    boolean hasStopped() {
        return stopped;
    }

    boolean hasName(String name) {
        return name().equals(name);
    }

    /** Changes the status of this member to left. */
    void leave() {
        update = new MemberUpdate(update.identity(), update.incarnation(), MemberStatus.LEFT, update.reporterId());
    }

    void stop() {
        stopped = true;
    }

    /**
     * Handles an update that another process with this name sent about itself: the process that started later keeps the
     * name, the other stops.
     *
     * @return whether this process started later
     */
    boolean onNameConflict(MemberUpdate other, long unixNowMillis) {
        long otherStartMillis = other.incarnation().startedAtMillis();
        long ownStartMillis = update.incarnation().startedAtMillis();
        if (otherStartMillis > ownStartMillis
                && IncarnationValidator.isPlausible(other.incarnation(), null, unixNowMillis)) {
            stopped = true;
        }
        return otherStartMillis < ownStartMillis;
    }

    /** Handles an update about this member's name that another member passed on, and refutes it if it is wrong. */
    Reaction onUpdate(MemberUpdate claimed, double nowMillis, long unixNowMillis) {
        Incarnation own = update.incarnation();
        if (!IncarnationValidator.isPlausible(claimed.incarnation(), own, unixNowMillis)) {
            // This member has not created it, and others reject an implausible incarnation without a refutation.
            return Reaction.NONE;
        }
        if (mayBeSuccessor(claimed)) {
            if (nowMillis - pingedAtMillis < pingIntervalMillis) {
                return Reaction.NONE;
            }
            pingedAtMillis = nowMillis;
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
     * Returns whether an update may be about a process that took over the name.
     *
     * <p>A later start at the same address is that of an earlier process, after which the machine's clock was set back.
     */
    private boolean mayBeSuccessor(MemberUpdate claimed) {
        return claimed.incarnation().startedAtMillis() > update.incarnation().startedAtMillis()
                && !claimed.identity().address().equals(update.identity().address())
                && claimed.status().isPresent();
    }

    /** Returns the state as text for the model checker, with times relative to {@code nowMillis}. */
    String state(double nowMillis) {
        return update + " " + stopped + (nowMillis - pingedAtMillis);
    }
}
