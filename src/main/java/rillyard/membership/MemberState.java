package rillyard.membership;

import java.util.HashSet;
import java.util.Set;

/** What is known of one other member, and since when. Not thread-safe. */
final class MemberState {
    /** Suspectors beyond which further ones change nothing. */
    private static final int MAX_SUSPECTORS = 8;

    private MemberUpdate update;
    private double sinceMillis;
    private String source = "";
    private double nextPingAtMillis;

    /** The reporters that suspect the member; most members are never suspected, and keep no set. */
    private Set<Integer> suspectors = Set.of();

    MemberState(MemberUpdate update, double sinceMillis) {
        this.update = update;
        this.sinceMillis = sinceMillis;
    }

    /** Returns the update that holds. */
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

    /** Returns who reported the status, as {@link MembershipEvent#source}. */
    String source() {
        return source;
    }

    void setSource(String source) {
        this.source = source;
    }

    /** Replaces the update by one that overrides it. */
    void override(MemberUpdate newUpdate, double now) {
        update = newUpdate;
        sinceMillis = now;
        suspectors = Set.of();
    }

    /** Replaces the update by an independent one of the same status and incarnation. */
    void confirm(MemberUpdate newUpdate) {
        update = newUpdate;
    }

    /** Extends the time for which the member has had its status, after a pause of this process. */
    void extend(double pauseMillis) {
        sinceMillis += pauseMillis;
    }

    /** Returns when a suspect is pinged next. */
    double nextPingAtMillis() {
        return nextPingAtMillis;
    }

    void scheduleNextPing(double atMillis) {
        nextPingAtMillis = atMillis;
    }

    Set<Integer> suspectors() {
        return suspectors;
    }

    /** Adds a suspector; returns whether it is new and its confirmation counts. */
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
