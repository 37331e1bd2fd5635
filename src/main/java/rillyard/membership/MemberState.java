package rillyard.membership;

import java.util.HashSet;
import java.util.Set;

/** What is believed of one member, and since when. */
final class MemberState {
    /** More than that change nothing. */
    private static final int MOST_ACCUSERS = 8;

    MemberUpdate word;
    double since;
    /** By whose word, as {@link MembershipEvent#by}. */
    String by = "";
    /** When a suspect is asked again. */
    double askAt;
    /** Who suspects it, by number: independent words shorten the time that it has to speak up. */
    private Set<Integer> suspectors = Set.of();

    MemberState(MemberUpdate word, double since) {
        this.word = word;
        this.since = since;
    }

    /** Who accuses it, by number; most members are never accused, and keep no set. */
    Set<Integer> suspectors() {
        return suspectors;
    }

    /** Adds one; whether it is new, and there is room for it. */
    boolean addSuspector(int by) {
        if (suspectors.size() >= MOST_ACCUSERS) {
            return false;
        }
        if (suspectors.isEmpty()) {
            suspectors = new HashSet<>(4);
        }
        return suspectors.add(by);
    }

    void clearSuspicion() {
        suspectors = Set.of();
    }

    MemberStatus status() {
        return word.status();
    }
}
