package rillyard.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * The table of all other known members, and the order in which they are probed: a random permutation for each round
 * (SWIM, 4.3). Not thread-safe.
 */
final class MemberTable {
    /** Random draws for each member to pick, in addition to {@link #BASE_DRAWS}. */
    private static final int DRAWS_PER_MEMBER = 3;

    private static final int BASE_DRAWS = 8;
    private static final int DRAWS_FOR_DEAD = 16;

    private final Map<String, MemberState> members = new HashMap<>();
    private final List<String> probeRound = new ArrayList<>();
    private final List<String> names = new ArrayList<>();

    /** Suspects in the order of their suspicion; kept separately, as they are checked many times a protocol period. */
    private final Set<MemberState> suspects = new LinkedHashSet<>();

    private final RandomGenerator random;
    private int nextInRound;
    private int pageCursor;
    private int presentCount;
    private int digest;

    MemberTable(RandomGenerator random) {
        this.random = random;
    }

    /** Returns all members by name, as a view. */
    Map<String, MemberState> members() {
        return members;
    }

    /** Returns a copy of the current suspects; the table may be changed while it is iterated. */
    List<MemberState> suspects() {
        return suspects.isEmpty() ? List.of() : new ArrayList<>(suspects);
    }

    /** Returns the member with a name, or null if it is unknown. */
    MemberState get(String name) {
        return members.get(name);
    }

    /** Returns the number of members that are alive or suspected. */
    int presentCount() {
        return presentCount;
    }

    /** Returns a hash of all present members; two tables with the same present members have the same digest. */
    int digest() {
        return digest;
    }

    /** Returns the part of the digest for a present member, a hash of its name and the start of its process. */
    static int digestOf(MemberUpdate update) {
        int hash = update.identity().name().hashCode() * 31
                + Long.hashCode(update.incarnation().startedAtMillis());
        hash = (hash ^ (hash >>> 16)) * 0x85EBCA6B;
        return hash ^ (hash >>> 13);
    }

    // --- changes

    void add(MemberState member) {
        String name = member.name();
        members.put(name, member);
        names.add(name);
        // At a random position (SWIM, 4.3), so that members that join together are not probed in a row in this round.
        probeRound.add(probeRound.isEmpty() ? 0 : random.nextInt(probeRound.size() + 1), name);
        count(member.update(), 1);
        trackSuspicion(member);
    }

    /** Applies an update that overrides the current one about a member. */
    void override(MemberState member, MemberUpdate update, double nowMillis) {
        count(member.update(), -1);
        count(update, 1);
        member.override(update, nowMillis);
        trackSuspicion(member);
    }

    private void count(MemberUpdate update, int sign) {
        if (update.status().isPresent()) {
            presentCount += sign;
            digest += sign * digestOf(update);
        }
    }

    private void trackSuspicion(MemberState member) {
        if (member.status() == MemberStatus.SUSPECT) {
            suspects.add(member);
        } else {
            suspects.remove(member);
        }
    }

    /** Removes members that have been dead or left since before a time, and returns their names. */
    List<String> removeDepartedBefore(double timeMillis) {
        List<String> removed = new ArrayList<>();
        for (Iterator<MemberState> states = members.values().iterator(); states.hasNext(); ) {
            MemberState member = states.next();
            if (!member.status().isPresent() && member.sinceMillis() < timeMillis) {
                states.remove();
                removed.add(member.name());
            }
        }
        if (!removed.isEmpty()) {
            names.removeIf(name -> !members.containsKey(name));
            probeRound.removeIf(name -> !members.containsKey(name));
            nextInRound = Math.min(nextInRound, probeRound.size());
        }
        return removed;
    }

    // --- selection

    /** Returns the member to probe next, or null if there is none. */
    MemberState nextToProbe() {
        for (int examined = 0; examined <= probeRound.size(); examined++) {
            if (nextInRound >= probeRound.size()) {
                shuffleRound();
                nextInRound = 0;
            }
            if (probeRound.isEmpty()) {
                return null;
            }
            MemberState member = members.get(probeRound.get(nextInRound++));
            if (member.status().isPresent()) {
                return member;
            }
        }
        return null;
    }

    private void shuffleRound() {
        for (int i = probeRound.size() - 1; i > 0; i--) {
            Collections.swap(probeRound, i, random.nextInt(i + 1));
        }
    }

    /** Returns up to {@code count} random present members except the named one; suspects only if included. */
    List<MemberState> pickRandom(int count, String excludedName, boolean includeSuspects) {
        List<MemberState> picked = new ArrayList<>(count);
        int draws = DRAWS_PER_MEMBER * count + BASE_DRAWS;
        for (int i = 0; i < draws && picked.size() < count && !names.isEmpty(); i++) {
            MemberState member = drawRandom();
            boolean isEligible = includeSuspects ? member.status().isPresent() : member.status() == MemberStatus.ALIVE;
            if (isEligible && !member.name().equals(excludedName) && !picked.contains(member)) {
                picked.add(member);
            }
        }
        return picked;
    }

    /** Returns a random dead member, or null if the draws find none. */
    MemberState pickRandomDead() {
        for (int i = 0; i < DRAWS_FOR_DEAD && !names.isEmpty(); i++) {
            MemberState member = drawRandom();
            if (member.status() == MemberStatus.DEAD) {
                return member;
            }
        }
        return null;
    }

    private MemberState drawRandom() {
        return members.get(names.get(random.nextInt(names.size())));
    }

    /** Returns the next page of the table: updates that fit into {@code capacity} bytes, after the previous page. */
    List<MemberUpdate> nextPage(int capacity) {
        List<MemberUpdate> page = new ArrayList<>(12);
        int remaining = capacity;
        for (int i = 0; i < names.size(); i++) {
            MemberUpdate update =
                    members.get(names.get(pageCursor % names.size())).update();
            remaining -= MessageCodec.size(update);
            if (remaining < 0) {
                break;
            }
            page.add(update);
            pageCursor = (pageCursor + 1) % names.size();
        }
        return page;
    }

    /** Returns up to {@code count} consecutive names, starting at a random position. */
    List<String> namesFromRandomPosition(int count) {
        List<String> selected = new ArrayList<>(count);
        int start = names.isEmpty() ? 0 : random.nextInt(names.size());
        for (int i = 0; i < Math.min(count, names.size()); i++) {
            selected.add(names.get((start + i) % names.size()));
        }
        return selected;
    }

    /** Returns the state as text for the model checker, with times relative to {@code nowMillis}. */
    String state(double nowMillis) {
        StringBuilder out = new StringBuilder();
        new TreeMap<>(members).values().forEach(member -> out.append("; ")
                .append(member.update())
                .append(nowMillis - member.sinceMillis())
                .append(' ')
                .append(member.nextPingAtMillis() - nowMillis)
                .append(new TreeSet<>(member.suspectors())));
        suspects.forEach(suspect -> out.append(suspect.name()));
        return out + "; " + probeRound + nextInRound + " " + names + pageCursor;
    }
}
