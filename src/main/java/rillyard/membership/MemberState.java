package rillyard.membership;

import java.util.HashSet;
import java.util.Set;

/** The known state of one other member. Not thread-safe. */
final class MemberState {
    /** Number of suspectors beyond which further ones have no effect. */
    private static final int MAX_SUSPECTORS = 8;

    private MemberUpdate update;
    private double sinceMillis;
    private String source = "";
    private double nextPingAtMillis;

    /** Ids of the reporters that suspect the member; allocated with the first, as most members are never suspected. */
    private Set<Integer> suspectors = Set.of();

    MemberState(MemberUpdate update, double sinceMillis) {
        this.update = update;
        this.sinceMillis = sinceMillis;
    }

    /** Returns the current update about the member. */
    MemberUpdate update() {
        return update;
    }

    MemberStatus status() {
        return update.status();
    }

    String name() {
        return update.identity().name();
    }

    MemberAddress address() {
        return update.identity().address();
    }

    double sinceMillis() {
        return sinceMillis;
    }

    /** Returns the source of the status, as {@link MembershipEvent#source}. */
    String source() {
        return source;
    }

    void setSource(String source) {
        this.source = source;
    }

    /** Replaces the update by one that overrides it. */
    void override(MemberUpdate newUpdate, double nowMillis) {
        update = newUpdate;
        sinceMillis = nowMillis;
        suspectors = Set.of();
    }

    /** Replaces the update by another reporter's update with the same status and incarnation. */
    void confirm(MemberUpdate newUpdate) {
        update = newUpdate;
    }

    /** Moves the start of the status later, so that a pause of this process doesn't count for the suspicion timeout. */
    void excludePause(double pauseMillis) {
        sinceMillis += pauseMillis;
    }

    /** Returns the time of the next ping to a suspect. */
    double nextPingAtMillis() {
        return nextPingAtMillis;
    }

    void scheduleNextPing(double atMillis) {
        nextPingAtMillis = atMillis;
    }

    Set<Integer> suspectors() {
        return suspectors;
    }

    /** Adds a suspector; returns false if it is known already or the maximum is reached. */
    boolean addSuspector(int reporterId) {
        if (suspectors.size() >= MAX_SUSPECTORS) {
            return false;
        }
        if (suspectors.isEmpty()) {
            suspectors = new HashSet<>(4);
        }
        return suspectors.add(reporterId);
    }
}
