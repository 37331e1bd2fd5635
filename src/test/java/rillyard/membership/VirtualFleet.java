package rillyard.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;

/** Members on a virtual clock, every datagram written to bytes and read again, with faults between them. */
final class VirtualFleet {
    /** Unix time (ms) at which the clock begins. */
    private static final long BEGIN = 1_700_000_000_000L;

    private static final double TICK = 20;

    private record Event(double at, long order, Runnable what) {}

    /** One process. */
    final class Node implements Membership.Output {
        final String name;
        final double startedAt = now;
        final MemberAddress at;
        final Membership member;
        final List<MembershipEvent> changes = new ArrayList<>();
        double stoppedUntil;
        boolean dead;

        Node(String name, int index) {
            this.name = name;
            this.at = new MemberAddress(0x7F000001 + index, 4_000);
            this.member = new Membership(
                    settings,
                    new MemberIdentity(name, at, index % 3, 0),
                    BEGIN + (long) now + clock,
                    seeds,
                    random.split(),
                    this);
        }

        private double time() {
            return now - startedAt;
        }

        private void tick() {
            if (!dead) {
                if (now >= stoppedUntil) {
                    member.onTick(time());
                }
                after(TICK * (0.9 + 0.2 * random.nextDouble()), this::tick);
            }
        }

        @Override
        public void send(MemberAddress to, Message message) {
            byte[] bytes = MessageCodec.encode(message, MessageCodec.MAX_BYTES);
            sent++;
            sentBytes += bytes.length;
            int copies = random.nextDouble() < loss ? 0 : random.nextDouble() < doubled ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                after(0.2 + random.nextDouble() * delay, () -> deliver(to, bytes));
            }
        }

        private void deliver(MemberAddress to, byte[] bytes) {
            Node node = byAddress.get(to);
            if (node == null || node.dead || !links.test(name, node.name)) {
                return;
            }
            if (now < node.stoppedUntil) {
                after(node.stoppedUntil - now + 0.1, () -> deliver(to, bytes)); // it lies in its socket
            } else {
                node.member.onMessage(node.time(), at, shared(MessageCodec.decode(bytes)));
            }
        }

        @Override
        public void onMembershipEvent(MembershipEvent event) {
            if (large) {
                deaths.addAll(
                        event.now().status() == MemberStatus.DEAD
                                ? List.of(event.now().identity().name())
                                : List.of());
                return;
            }
            changes.add(event);
            history.add(name + " holds " + event.now().identity().name() + " "
                    + event.now().status() + " at " + (long) now);
            if (event.now().status() == MemberStatus.DEAD) {
                deaths.add(event.now().identity().name());
            }
        }
    }

    final MembershipSettings settings;
    final SplittableRandom random;
    final List<String> history = new ArrayList<>();
    /** Names that anyone came to hold dead, once for each who did. */
    final List<String> deaths = new ArrayList<>();

    final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Map<MemberAddress, Node> byAddress = new HashMap<>();
    private final List<MemberAddress> seeds = new ArrayList<>();
    private final Map<MemberUpdate, MemberUpdate> words = new HashMap<>();
    /** No histories are kept then. */
    private final boolean large;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long order;
    double now;
    /** What the wall clock is ahead by (ms), at the start of the next process. */
    long clock;

    double loss;
    double doubled;
    double delay = 2;
    long sent;
    long sentBytes;
    BiPredicate<String, String> links = (from, to) -> true;

    VirtualFleet(long seed, int members) {
        this(seed, members, MembershipSettings.DEFAULT);
    }

    VirtualFleet(long seed, int members, MembershipSettings settings) {
        this.random = new SplittableRandom(seed);
        this.settings = settings;
        this.large = members > 500;
        for (int i = 0; i < Math.min(3, members); i++) {
            seeds.add(new MemberAddress(0x7F000001 + i, 4_000));
        }
        for (int i = 0; i < members; i++) {
            start(i);
        }
    }

    static String name(int i) {
        return "m" + i;
    }

    Node node(int i) {
        return nodes.get(name(i));
    }

    /** Starts member {@code i}, also in the place of one that ended. */
    Node start(int i) {
        return startElsewhere(i, i);
    }

    /** Starts a process of that member's name at the address that member {@code place} would have. */
    Node startElsewhere(int i, int place) {
        Node node = new Node(name(i), place);
        nodes.put(node.name, node);
        byAddress.put(node.at, node);
        after(random.nextDouble() * TICK, node::tick);
        return node;
    }

    void kill(int i) {
        node(i).dead = true;
    }

    void stop(int i, double ms) {
        node(i).stoppedUntil = now + ms;
    }

    void after(double ms, Runnable what) {
        events.add(new Event(now + ms, order++, what));
    }

    /** In large fleets all members hold one object for one word: millions of them would not fit otherwise. */
    private Message shared(Message message) {
        if (!large) {
            return message;
        }
        List<MemberUpdate> news = message.updates().stream().map(this::shared).toList();
        return new Message(
                message.kind(),
                message.sequence(),
                message.digest(),
                shared(message.sender()),
                message.target(),
                message.targetAt(),
                news,
                message.attributes());
    }

    private MemberUpdate shared(MemberUpdate update) {
        return words.computeIfAbsent(update, memberUpdate -> memberUpdate);
    }

    /** Lets time pass. */
    void run(double ms) {
        double until = now + ms;
        Event event;
        while ((event = events.peek()) != null && event.at <= until) {
            events.poll();
            now = event.at;
            event.what.run();
        }
        now = until;
    }

    /** Lets time pass until all that live hold just those that live; returns how long it took, or -1. */
    double untilAgreed(double most) {
        return until(most, this::agreed);
    }

    /** Lets time pass until this holds; returns how long it took, or -1. */
    double until(double most, BooleanSupplier what) {
        double from = now;
        while (now - from < most) {
            if (what.getAsBoolean()) {
                return now - from;
            }
            run(50);
        }
        return -1;
    }

    /** Whether all that live hold this of one member. */
    boolean allHold(String name, MemberStatus status) {
        return nodes.values().stream()
                .filter(node -> !node.dead && !node.name.equals(name))
                .allMatch(n -> n.member.others().stream()
                        .anyMatch(update -> update.identity().name().equals(name) && update.status() == status));
    }

    boolean agreed() {
        Set<String> living = new HashSet<>();
        nodes.values().stream().filter(node -> !node.dead).forEach(n -> living.add(n.name));
        for (Node n : nodes.values()) {
            if (!n.dead) {
                Set<String> held = new HashSet<>();
                for (MemberUpdate update : n.member.others()) {
                    if (update.status() == MemberStatus.SUSPECT) {
                        return false;
                    } else if (update.status() == MemberStatus.ALIVE) {
                        held.add(update.identity().name());
                    }
                }
                held.add(n.name);
                if (!held.equals(living)) {
                    return false;
                }
            }
        }
        return true;
    }
}
