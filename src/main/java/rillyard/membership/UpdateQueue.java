package rillyard.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Queues members whose latest updates are piggybacked on messages. Bounded by the member table; not thread-safe. */
final class UpdateQueue {
    private final BroadcastQueue<String> names = new BroadcastQueue<>(Comparator.<String>naturalOrder());

    /** Queues a new update about a member. */
    void enqueue(String name) {
        names.add(name);
    }

    boolean isEmpty() {
        return names.isEmpty();
    }

    void remove(String name) {
        names.remove(name);
    }

    /**
     * Selects updates for one datagram.
     *
     * @param first names whose updates are selected first, however often they have been sent
     * @param capacity available bytes
     * @param maxTransmissions transmissions after which an update leaves the queue
     */
    List<MemberUpdate> select(
            Map<String, MemberState> members, List<String> first, int capacity, int maxTransmissions) {
        Selection selection = new Selection(capacity);
        first.forEach(name -> selection.add(members.get(name)));
        names.offer(
                maxTransmissions,
                () -> selection.remainingBytes >= MessageCodec.MIN_UPDATE_SIZE,
                name -> selection.add(members.get(name)));
        return selection.updates;
    }

    /** Appends the updates about {@code candidates}, in their order, that fit into {@code capacity} bytes. */
    void fill(Map<String, MemberState> members, List<MemberUpdate> selected, int capacity, List<String> candidates) {
        Selection selection = new Selection(capacity);
        selected.forEach(update -> selection.names.add(update.identity().name()));
        candidates.forEach(name -> selection.add(members.get(name)));
        selected.addAll(selection.updates);
    }

    /** Returns the state as text for the model checker. */
    String state() {
        return names.state();
    }

    /** Updates for one datagram, at most one about each member. */
    private static final class Selection {
        private final List<MemberUpdate> updates = new ArrayList<>(10);
        private final Set<String> names = new HashSet<>();
        private int remainingBytes;

        Selection(int capacity) {
            this.remainingBytes = capacity;
        }

        boolean add(MemberState member) {
            if (member == null || MessageCodec.size(member.update()) > remainingBytes || !names.add(member.name())) {
                return false;
            }
            updates.add(member.update());
            remainingBytes -= MessageCodec.size(member.update());
            return true;
        }
    }
}
