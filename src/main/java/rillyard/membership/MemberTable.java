package rillyard.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/** The other members that are known, and in which order they are probed: a random one, dealt anew each round. */
final class MemberTable {
    private final Map<String, MemberState> beliefs = new HashMap<>();
    private final List<String> round = new ArrayList<>();
    private final List<String> all = new ArrayList<>();
    /** Those that are suspected, in the order in which they came to be: asked for many times an interval. */
    private final Set<MemberState> suspects = new LinkedHashSet<>();

    private final RandomGenerator random;
    private int next;
    private int cursor;
    private int present;
    private int digest;

    MemberTable(RandomGenerator random) {
        this.random = random;
    }

    Map<String, MemberState> beliefs() {
        return beliefs;
    }

    /** Suspects as of now; they may be changed meanwhile. */
    List<MemberState> suspects() {
        return suspects.isEmpty() ? List.of() : new ArrayList<>(suspects);
    }

    MemberState get(String name) {
        return beliefs.get(name);
    }

    /** Others that are alive or suspected. */
    int present() {
        return present;
    }

    void add(MemberState member) {
        String name = member.word.identity().name();
        beliefs.put(name, member);
        all.add(name);
        // At a random place, so that those who join together are not probed together for ever.
        round.add(round.isEmpty() ? 0 : random.nextInt(round.size() + 1), name);
        count(member.word, 1);
        mark(member);
    }

    private void mark(MemberState member) {
        if (member.status() == MemberStatus.SUSPECT) {
            suspects.add(member);
        } else {
            suspects.remove(member);
        }
    }

    private void count(MemberUpdate update, int sign) {
        if (update.status().present()) {
            present += sign;
            digest += sign * mark(update);
        }
    }

    /** A number for one who is present, by name and start: words that change often don't change it. */
    static int mark(MemberUpdate update) {
        int h = update.identity().name().hashCode() * 31
                + Long.hashCode(update.incarnation().startedAtMillis());
        h = (h ^ h >>> 16) * 0x85EBCA6B;
        return h ^ h >>> 13;
    }

    /** A number for all who are present: two tables that hold the same have the same. */
    int digest() {
        return digest;
    }

    void set(MemberState member, MemberUpdate word, double now) {
        count(member.word, -1);
        count(word, 1);
        member.word = word;
        member.since = now;
        member.clearSuspicion();
        mark(member);
    }

    /** Forgets members that have been dead or gone since before {@code until}; returns their names. */
    List<String> forget(double until) {
        List<String> gone = new ArrayList<>();
        for (Iterator<MemberState> i = beliefs.values().iterator(); i.hasNext(); ) {
            MemberState member = i.next();
            if (!member.status().present() && member.since < until) {
                i.remove();
                gone.add(member.word.identity().name());
            }
        }
        if (!gone.isEmpty()) {
            all.removeIf(n -> !beliefs.containsKey(n));
            round.removeIf(n -> !beliefs.containsKey(n));
            next = Math.min(next, round.size());
        }
        return gone;
    }

    /** The member to probe next, null if there is none. */
    MemberState nextToProbe() {
        for (int looked = 0; looked <= round.size(); looked++) {
            if (next >= round.size()) {
                shuffle();
                next = 0;
            }
            if (round.isEmpty()) {
                return null;
            }
            MemberState member = beliefs.get(round.get(next++));
            if (member.status().present()) {
                return member;
            }
        }
        return null;
    }

    private void shuffle() {
        for (int i = round.size() - 1; i > 0; i--) {
            int k = random.nextInt(i + 1);
            String s = round.get(i);
            round.set(i, round.get(k));
            round.set(k, s);
        }
    }

    /** Up to so many others at random, without this one, and without suspects unless these are asked for. */
    List<MemberState> some(int n, String without, boolean suspects) {
        List<MemberState> out = new ArrayList<>(n);
        for (int looked = 0; looked < 3 * n + 8 && out.size() < n && !all.isEmpty(); looked++) {
            MemberState member = beliefs.get(all.get(random.nextInt(all.size())));
            if ((suspects ? member.status().present() : member.status() == MemberStatus.ALIVE)
                    && !member.word.identity().name().equals(without)
                    && !out.contains(member)) {
                out.add(member);
            }
        }
        return out;
    }

    /** One that is believed dead, at random; null if the draw finds none. */
    MemberState someDead() {
        for (int looked = 0; looked < 16 && !all.isEmpty(); looked++) {
            MemberState member = beliefs.get(all.get(random.nextInt(all.size())));
            if (member.status() == MemberStatus.DEAD) {
                return member;
            }
        }
        return null;
    }

    /** What is believed, and whose turn it is. */
    String state(double now) {
        StringBuilder out = new StringBuilder();
        new TreeMap<>(beliefs).values().forEach(member -> out.append("; ")
                .append(member.word)
                .append(now - member.since)
                .append(' ')
                .append(member.askAt - now)
                .append(new TreeSet<>(member.suspectors())));
        suspects.forEach(memberState -> out.append(memberState.word.identity().name()));
        return out + "; " + round + next + " " + all + cursor;
    }

    /** The next words in turn that fit into the room: page after page the whole table. */
    List<MemberUpdate> page(int room) {
        List<MemberUpdate> out = new ArrayList<>(12);
        int left = room;
        for (int i = 0; i < all.size(); i++) {
            MemberUpdate update = beliefs.get(all.get(cursor % all.size())).word;
            left -= MessageCodec.size(update);
            if (left < 0) {
                break;
            }
            out.add(update);
            cursor = (cursor + 1) % all.size();
        }
        return out;
    }

    /** Names from a random place on, to fill datagrams with: so all tables become one, whatever was lost. */
    List<String> fill(int n) {
        List<String> out = new ArrayList<>(n);
        int from = all.isEmpty() ? 0 : random.nextInt(all.size());
        for (int i = 0; i < Math.min(n, all.size()); i++) {
            out.add(all.get((from + i) % all.size()));
        }
        return out;
    }
}
