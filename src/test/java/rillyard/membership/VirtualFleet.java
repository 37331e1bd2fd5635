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

/** Members on a virtual clock; every datagram is encoded and decoded, and faults can be injected between them. */
final class VirtualFleet {
    /** Unix time at which the clock begins. */
    private static final long START_UNIX_MILLIS = 1_700_000_000_000L;

    private static final double TICK_MILLIS = 20;

    private record Event(double at, long order, Runnable action) {}

    /** One process. */
    final class Node implements Membership.Output {
        final String name;
        final double startedAt = now;
        final MemberAddress address;
        final Membership member;
        final List<MembershipEvent> events = new ArrayList<>();
        double pausedUntil;
        boolean isKilled;

        Node(String name, int index) {
            this.name = name;
            this.address = new MemberAddress(0x7F000001 + index, 4_000);
            this.member = new Membership(
                    settings,
                    new MemberIdentity(name, address, index % 3, 0),
                    START_UNIX_MILLIS + (long) now + clockOffsetMillis,
                    seeds,
                    random.split(),
                    this);
        }

        private double time() {
            return now - startedAt;
        }

        private void tick() {
            if (!isKilled) {
                if (now >= pausedUntil) {
                    member.onTick(time());
                }
                schedule(TICK_MILLIS * (0.9 + 0.2 * random.nextDouble()), this::tick);
            }
        }

        @Override
        public void send(MemberAddress to, Message message) {
            byte[] bytes = MessageCodec.encode(message, MessageCodec.MAX_BYTES);
            sentDatagrams++;
            sentBytes += bytes.length;
            int copies =
                    random.nextDouble() < lossProbability ? 0 : random.nextDouble() < duplicationProbability ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                schedule(0.2 + random.nextDouble() * maxDelayMillis, () -> deliver(to, bytes));
            }
        }

        private void deliver(MemberAddress to, byte[] bytes) {
            Node node = byAddress.get(to);
            if (node == null || node.isKilled || !connectivity.test(name, node.name)) {
                return;
            }
            if (now < node.pausedUntil) {
                schedule(node.pausedUntil - now + 0.1, () -> deliver(to, bytes)); // it waits in the socket
            } else {
                node.member.onMessage(node.time(), address, intern(MessageCodec.decode(bytes)));
            }
        }

        @Override
        public void onMembershipEvent(MembershipEvent event) {
            if (isLarge) {
                deaths.addAll(
                        event.update().status() == MemberStatus.DEAD
                                ? List.of(event.update().identity().name())
                                : List.of());
                return;
            }
            events.add(event);
            history.add(name + " holds " + event.update().identity().name() + " "
                    + event.update().status() + " at " + (long) now);
            if (event.update().status() == MemberStatus.DEAD) {
                deaths.add(event.update().identity().name());
            }
        }
    }

    final MembershipSettings settings;
    final SplittableRandom random;
    final List<String> history = new ArrayList<>();
    /** Names of members that were reported dead, once for each member that reported it. */
    final List<String> deaths = new ArrayList<>();

    final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Map<MemberAddress, Node> byAddress = new HashMap<>();
    private final List<MemberAddress> seeds = new ArrayList<>();
    private final Map<MemberUpdate, MemberUpdate> internedUpdates = new HashMap<>();
    /** Whether the fleet is so large that no histories are kept. */
    private final boolean isLarge;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long nextEventOrder;
    double now;
    /** Offset of the wall clock at the start of the next process. */
    long clockOffsetMillis;

    double lossProbability;
    double duplicationProbability;
    double maxDelayMillis = 2;
    long sentDatagrams;
    long sentBytes;
    BiPredicate<String, String> connectivity = (from, to) -> true;

    VirtualFleet(long seed, int members) {
        this(seed, members, MembershipSettings.DEFAULT);
    }

    VirtualFleet(long seed, int members, MembershipSettings settings) {
        this.random = new SplittableRandom(seed);
        this.settings = settings;
        this.isLarge = members > 500;
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

    /** Starts member {@code i}, also in place of one that ended. */
    Node start(int i) {
        return startElsewhere(i, i);
    }

    /** Starts a process of that member's name at the address that member {@code place} would have. */
    Node startElsewhere(int i, int place) {
        Node node = new Node(name(i), place);
        nodes.put(node.name, node);
        byAddress.put(node.address, node);
        schedule(random.nextDouble() * TICK_MILLIS, node::tick);
        return node;
    }

    void kill(int i) {
        node(i).isKilled = true;
    }

    void pause(int i, double ms) {
        node(i).pausedUntil = now + ms;
    }

    void schedule(double ms, Runnable what) {
        events.add(new Event(now + ms, nextEventOrder++, what));
    }

    /** Shares equal updates among the members of large fleets, as millions of them would not fit into memory. */
    private Message intern(Message message) {
        if (!isLarge) {
            return message;
        }
        List<MemberUpdate> news = message.updates().stream().map(this::intern).toList();
        return new Message(
                message.kind(),
                message.sequence(),
                message.digest(),
                intern(message.sender()),
                message.target(),
                message.targetAt(),
                news,
                message.attributes());
    }

    private MemberUpdate intern(MemberUpdate update) {
        return internedUpdates.computeIfAbsent(update, memberUpdate -> memberUpdate);
    }

    /** Runs for so many milliseconds. */
    void run(double ms) {
        double until = now + ms;
        Event event;
        while ((event = events.peek()) != null && event.at <= until) {
            events.poll();
            now = event.at;
            event.action.run();
        }
        now = until;
    }

    /** Runs until all running members know just the running ones; returns the milliseconds it took, or -1. */
    double runUntilConverged(double maxMillis) {
        return runUntil(maxMillis, this::hasConverged);
    }

    /** Runs until a condition holds; returns the milliseconds it took, or -1. */
    double runUntil(double maxMillis, BooleanSupplier condition) {
        double from = now;
        while (now - from < maxMillis) {
            if (condition.getAsBoolean()) {
                return now - from;
            }
            run(50);
        }
        return -1;
    }

    /** Returns whether all other running members have this status of one member. */
    boolean allReport(String name, MemberStatus status) {
        return nodes.values().stream()
                .filter(node -> !node.isKilled && !node.name.equals(name))
                .allMatch(node -> node.member.others().stream()
                        .anyMatch(update -> update.identity().name().equals(name) && update.status() == status));
    }

    boolean hasConverged() {
        Set<String> running = new HashSet<>();
        nodes.values().stream().filter(node -> !node.isKilled).forEach(node -> running.add(node.name));
        for (Node node : nodes.values()) {
            if (!node.isKilled) {
                Set<String> known = new HashSet<>();
                for (MemberUpdate update : node.member.others()) {
                    if (update.status() == MemberStatus.SUSPECT) {
                        return false;
                    } else if (update.status() == MemberStatus.ALIVE) {
                        known.add(update.identity().name());
                    }
                }
                known.add(node.name);
                if (!known.equals(running)) {
                    return false;
                }
            }
        }
        return true;
    }
}
