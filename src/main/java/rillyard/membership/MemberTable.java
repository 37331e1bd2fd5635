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
 * The other members that are known, and the order in which they are probed: a random permutation for each round (SWIM,
 * 4.3). Not thread-safe.
 */
final class MemberTable {
    /** Draws for each member that is wanted at random, and at the least. */
    private static final int DRAWS_PER_MEMBER = 3;

    private static final int MIN_DRAWS = 8;
    private static final int DRAWS_FOR_DEAD = 16;

    private final Map<String, MemberState> members = new HashMap<>();
    private final List<String> probeRound = new ArrayList<>();
    private final List<String> names = new ArrayList<>();

    /** Suspects in the order in which they became suspected; checked many times a protocol period. */
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

    /** Returns the present suspects; the table may be changed meanwhile. */
    List<MemberState> suspects() {
        return suspects.isEmpty() ? List.of() : new ArrayList<>(suspects);
    }

    /** Returns the member of a name, or null. */
    MemberState get(String name) {
        return members.get(name);
    }

    /** Returns how many members are alive or suspected. */
    int presentCount() {
        return presentCount;
    }

    /** Returns a number for all members that are present; two tables with the same members have the same. */
    int digest() {
        return digest;
    }

    /** Returns the part of the digest for a present member; it depends on the name and the start of its process. */
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
        // At a random position, so that members that join together are not probed together for ever.
        probeRound.add(probeRound.isEmpty() ? 0 : random.nextInt(probeRound.size() + 1), name);
        count(member.update(), 1);
        trackSuspicion(member);
    }

    /** Applies an update that overrides the present one of a member. */
    void override(MemberState member, MemberUpdate update, double now) {
        count(member.update(), -1);
        count(update, 1);
        member.override(update, now);
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

    /** Removes members that have been dead or have left since before a time; returns their names. */
    List<String> removeDepartedBefore(double time) {
        List<String> removed = new ArrayList<>();
        for (Iterator<MemberState> states = members.values().iterator(); states.hasNext(); ) {
            MemberState member = states.next();
            if (!member.status().isPresent() && member.sinceMillis() < time) {
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

    /** Returns up to {@code count} present members at random, without the given name; suspects only if included. */
    List<MemberState> pickRandom(int count, String without, boolean includeSuspects) {
        List<MemberState> picked = new ArrayList<>(count);
        int draws = DRAWS_PER_MEMBER * count + MIN_DRAWS;
        for (int i = 0; i < draws && picked.size() < count && !names.isEmpty(); i++) {
            MemberState member = drawRandom();
            boolean isEligible = includeSuspects ? member.status().isPresent() : member.status() == MemberStatus.ALIVE;
            if (isEligible && !member.name().equals(without) && !picked.contains(member)) {
                picked.add(member);
            }
        }
        return picked;
    }

    /** Returns a dead member at random, or null if the draws find none. */
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

    /** Returns the next updates in turn that fit into the capacity (bytes): page by page the whole table. */
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

    /** Returns up to {@code count} names from a random position on. */
    List<String> namesFromRandomPosition(int count) {
        List<String> selected = new ArrayList<>(count);
        int start = names.isEmpty() ? 0 : random.nextInt(names.size());
        for (int i = 0; i < Math.min(count, names.size()); i++) {
            selected.add(names.get((start + i) % names.size()));
        }
        return selected;
    }

    /** Describes the state for the model checker; times are relative to the given one. */
    String state(double now) {
        StringBuilder out = new StringBuilder();
        new TreeMap<>(members).values().forEach(member -> out.append("; ")
                .append(member.update())
                .append(now - member.sinceMillis())
                .append(' ')
                .append(member.nextPingAtMillis() - now)
                .append(new TreeSet<>(member.suspectors())));
        suspects.forEach(suspect -> out.append(suspect.name()));
        return out + "; " + probeRound + nextInRound + " " + names + pageCursor;
    }
}
