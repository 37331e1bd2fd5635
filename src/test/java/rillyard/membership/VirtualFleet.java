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

/** Runs members on a virtual clock; every datagram is encoded and decoded, and faults can be injected into delivery. */
final class VirtualFleet {
    /** Unix time at which the clock begins. */
    private static final long START_UNIX_MILLIS = 1_700_000_000_000L;

    private static final double TICK_MILLIS = 20;

    private record Event(double atMillis, long order, Runnable action) {}

    /** One process. */
    final class Node implements Membership.Output {
        final String name;
        final double startedAtMillis = nowMillis;
        final MemberAddress address;
        final Membership member;
        final List<MembershipEvent> events = new ArrayList<>();
        double pausedUntilMillis;
        boolean isKilled;

        Node(String name, int index) {
            this.name = name;
            this.address = new MemberAddress(0x7F000001 + index, 4_000);
            this.member = new Membership(
                    settings,
                    new MemberIdentity(name, address, index % 3, 0),
                    START_UNIX_MILLIS + (long) nowMillis + clockOffsetMillis,
                    seeds,
                    random.split(),
                    this);
        }

        private double localMillis() {
            return nowMillis - startedAtMillis;
        }

        private void tick() {
            if (!isKilled) {
                if (nowMillis >= pausedUntilMillis) {
                    member.onTick(localMillis());
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
            if (nowMillis < node.pausedUntilMillis) {
                schedule(node.pausedUntilMillis - nowMillis + 0.1, () -> deliver(to, bytes)); // buffered by the socket
            } else {
                node.member.onMessage(node.localMillis(), address, intern(MessageCodec.decode(bytes)));
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
            history.add(name + " reports " + event.update().identity().name() + " "
                    + event.update().status() + " at " + (long) nowMillis);
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

    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) ->
            a.atMillis != b.atMillis ? Double.compare(a.atMillis, b.atMillis) : Long.compare(a.order, b.order));
    private long nextEventOrder;
    double nowMillis;
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

    /** Starts member {@code i}, or its next process if it has ended. */
    Node start(int i) {
        return startAtAddress(i, i);
    }

    /** Starts a process with the name of member {@code i} at the address of member {@code addressIndex}. */
    Node startAtAddress(int i, int addressIndex) {
        Node node = new Node(name(i), addressIndex);
        nodes.put(node.name, node);
        byAddress.put(node.address, node);
        schedule(random.nextDouble() * TICK_MILLIS, node::tick);
        return node;
    }

    void kill(int i) {
        node(i).isKilled = true;
    }

    void pause(int i, double durationMillis) {
        node(i).pausedUntilMillis = nowMillis + durationMillis;
    }

    void schedule(double delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, nextEventOrder++, action));
    }

    /** Shares equal updates among the members of large fleets, as millions of them would not fit into memory. */
    private Message intern(Message message) {
        if (!isLarge) {
            return message;
        }
        List<MemberUpdate> updates =
                message.updates().stream().map(this::intern).toList();
        return new Message(
                message.kind(),
                message.sequence(),
                message.digest(),
                intern(message.sender()),
                message.target(),
                message.targetAddress(),
                updates,
                message.attributes());
    }

    private MemberUpdate intern(MemberUpdate update) {
        return internedUpdates.computeIfAbsent(update, interned -> interned);
    }

    /** Runs for a duration. */
    void run(double durationMillis) {
        double untilMillis = nowMillis + durationMillis;
        Event event;
        while ((event = events.peek()) != null && event.atMillis <= untilMillis) {
            events.poll();
            nowMillis = event.atMillis;
            event.action.run();
        }
        nowMillis = untilMillis;
    }

    /** Runs until all running members know exactly the running ones; returns the milliseconds it took, or -1. */
    double runUntilConverged(double maxMillis) {
        return runUntil(maxMillis, this::hasConverged);
    }

    /** Runs until a condition holds; returns the milliseconds it took, or -1. */
    double runUntil(double maxMillis, BooleanSupplier condition) {
        double startMillis = nowMillis;
        while (nowMillis - startMillis < maxMillis) {
            if (condition.getAsBoolean()) {
                return nowMillis - startMillis;
            }
            run(50);
        }
        return -1;
    }

    /** Returns whether all other running members report this status of a member. */
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
