package rillyard.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The words to pass on: the newest of each member. Bounded by the members that are kept. */
final class UpdateQueue {
    private final BroadcastQueue<String> turns = new BroadcastQueue<>(Comparator.<String>naturalOrder());

    /** There is a new word about this member. */
    void changed(String name) {
        turns.add(name);
    }

    boolean isEmpty() {
        return turns.isEmpty();
    }

    /** What is queued, and how often it was passed on. */
    String state() {
        return turns.state();
    }

    void forget(String name) {
        turns.remove(name);
    }

    /**
     * Picks words for one datagram.
     *
     * @param first names that come first, whatever was sent of them before
     * @param room bytes that are left
     * @param transmits how often a word is passed on
     */
    List<MemberUpdate> pick(Map<String, MemberState> beliefs, List<String> first, int room, int transmits) {
        Selection page = new Selection(room);
        first.forEach(name -> page.add(beliefs.get(name)));
        turns.offer(transmits, () -> page.left >= MessageCodec.LEAST_WORD, name -> page.add(beliefs.get(name)));
        return page.words;
    }

    /** Adds words about these, where there is room left, in their order. */
    void fill(Map<String, MemberState> beliefs, List<MemberUpdate> out, int room, List<String> fill) {
        Selection page = new Selection(room);
        out.forEach(update -> page.names.add(update.identity().name()));
        fill.forEach(name -> page.add(beliefs.get(name)));
        out.addAll(page.words);
    }

    /** Words that go into one datagram, none about one member twice. */
    private static final class Selection {
        final List<MemberUpdate> words = new ArrayList<>(10);
        final Set<String> names = new HashSet<>();
        int left;

        Selection(int room) {
            this.left = room;
        }

        boolean add(MemberState member) {
            if (member == null
                    || MessageCodec.size(member.word) > left
                    || !names.add(member.word.identity().name())) {
                return false;
            }
            words.add(member.word);
            left -= MessageCodec.size(member.word);
            return true;
        }
    }
}
