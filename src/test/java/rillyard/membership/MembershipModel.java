package rillyard.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.UnaryOperator;
import rillyard.modelcheck.Model;

/** A model of three joined members with any deliveries, losses and duplicates, and a bounded number of restarts. */
final class MembershipModel implements Model<String> {
    private static final int MEMBERS = 3;
    private static final double STEP_MILLIS = 250;
    private static final int MAX_IN_FLIGHT = 6;
    private static final int MAX_CHOICES = 3;
    private static final int MAX_RESTARTS = 1;
    private static final int JOIN_STEPS = 12;
    private static final int FAIR_STEPS = 240;

    private record InFlightMessage(String from, MemberAddress source, MemberAddress to, Message message) {
        @Override
        public String toString() {
            return message.kind() + " of " + from + " to m" + (to.ip() - 1) + " "
                    + message.updates().stream()
                            .map(update -> update.identity().name() + "=" + update.status() + "/"
                                    + update.incarnation().startedAtMillis() + "."
                                    + update.incarnation().counter())
                            .toList();
        }
    }

    private final UnaryOperator<Message> messageFault;
    private final BiPredicate<String, Message> sendFilter;

    /**
     * Creates a model with an injected fault.
     *
     * @param messageFault changes each message in transit
     * @param sendFilter decides which messages of which sender are sent at all, once all members have joined
     */
    MembershipModel(UnaryOperator<Message> messageFault, BiPredicate<String, Message> sendFilter) {
        this.messageFault = messageFault;
        this.sendFilter = sendFilter;
    }

    MembershipModel() {
        this(message -> message, (from, message) -> true);
    }

    @Override
    public Run<String> newRun() {
        return new ModelRun();
    }

    private final class ModelRun implements Run<String> {
        private final Map<String, Membership> members = new TreeMap<>();
        private final Map<String, Double> startedAtMillis = new HashMap<>();
        private final List<InFlightMessage> inFlight = new ArrayList<>();
        private final Map<String, Set<Incarnation>> announcedIncarnations = new HashMap<>();
        private Map<String, Incarnation> previousIncarnations = new HashMap<>();
        private double nowMillis;
        private boolean joined;
        private int restarts;
        private String violation;

        ModelRun() {
            for (int i = 0; i < MEMBERS; i++) {
                startMember(i, 1_000);
            }
            for (int i = 0; i < JOIN_STEPS; i++) {
                step();
                deliverAll();
            }
            previousIncarnations = knownIncarnations();
            joined = true;
        }

        private MemberAddress address(int i) {
            return new MemberAddress(1 + i, 1);
        }

        private void startMember(int i, long startedUnixMillis) {
            String name = "m" + i;
            startedAtMillis.put(name, nowMillis);
            Membership.Output out = new Membership.Output() {
                @Override
                public void send(MemberAddress to, Message message) {
                    announcedIncarnations
                            .computeIfAbsent(name, n -> new HashSet<>())
                            .add(message.sender().incarnation());
                    if ((!joined || sendFilter.test(name, message))
                            && inFlight.size() < MAX_IN_FLIGHT * (nowMillis == 0 ? 100 : 1)) {
                        inFlight.add(new InFlightMessage(name, address(i), to, messageFault.apply(message)));
                    }
                }

                @Override
                public void onMembershipEvent(MembershipEvent event) {}
            };
            List<MemberAddress> seeds = List.of(address(0), address(1), address(2));
            // No randomness: each draw is the least value.
            members.put(
                    name,
                    new Membership(
                            MembershipSettings.DEFAULT,
                            new MemberIdentity(name, address(i), 0, 0),
                            startedUnixMillis,
                            seeds,
                            () -> 0L,
                            out));
        }

        private double localMillis(String name) {
            return nowMillis - startedAtMillis.get(name);
        }

        private void step() {
            nowMillis += STEP_MILLIS;
            members.forEach((name, membership) -> membership.onTick(localMillis(name)));
        }

        private void deliver(InFlightMessage delivered) {
            String to = "m" + (delivered.to.ip() - 1);
            members.get(to).onMessage(localMillis(to), delivered.source, delivered.message);
        }

        private void deliverAll() {
            while (!inFlight.isEmpty()) {
                deliver(inFlight.remove(0));
            }
        }

        @Override
        public List<String> actions() {
            List<String> all = new ArrayList<>(List.of("time"));
            for (int i = 0; i < Math.min(MAX_CHOICES, inFlight.size()); i++) {
                all.add("deliver " + i + ": " + inFlight.get(i));
                all.add("lose " + i + ": " + inFlight.get(i));
                all.add("duplicate " + i + ": " + inFlight.get(i));
            }
            if (restarts < MAX_RESTARTS) {
                all.add("restart m0");
                all.add("restart m0 with its clock set back");
            }
            return all;
        }

        @Override
        public void perform(String action) {
            if (action.equals("time")) {
                step();
            } else if (action.startsWith("restart")) {
                restarts++;
                previousIncarnations.keySet().removeIf(k -> k.startsWith("m0:"));
                startMember(0, action.endsWith("back") ? 500 : 9_000);
            } else {
                int i = action.charAt(action.indexOf(' ') + 1) - '0';
                switch (action.charAt(0) + "" + action.charAt(1)) {
                    case "de" -> deliver(inFlight.remove(i));
                    case "lo" -> inFlight.remove(i);
                    default -> deliver(inFlight.get(i));
                }
            }
            check();
        }

        /** Returns the incarnations that the members know of each other, keyed by {@code member:other}. */
        private Map<String, Incarnation> knownIncarnations() {
            Map<String, Incarnation> all = new HashMap<>();
            members.forEach((name, membership) -> membership
                    .others()
                    .forEach(update -> all.put(name + ":" + update.identity().name(), update.incarnation())));
            return all;
        }

        private void check() {
            Map<String, Incarnation> after = knownIncarnations();
            after.forEach((pair, incarnation) -> {
                Incarnation previous = previousIncarnations.get(pair);
                if (previous != null && incarnation.compareTo(previous) < 0) {
                    violation = "an older incarnation has overridden a newer one: " + pair;
                }
                String about = pair.substring(3);
                if (!announcedIncarnations.getOrDefault(about, Set.of()).contains(incarnation)) {
                    violation = "an incarnation that its member has not announced: " + pair + " has " + incarnation;
                }
            });
            previousIncarnations = after;
        }

        @Override
        public String violation() {
            return violation;
        }

        @Override
        public String state() {
            StringBuilder out = new StringBuilder().append(restarts).append(inFlight);
            members.forEach((name, membership) -> out.append('\n').append(membership.state(localMillis(name))));
            return out.toString();
        }

        @Override
        public String violationAfterFairRun() {
            for (int i = 0; i < FAIR_STEPS; i++) {
                deliverAll();
                step();
            }
            deliverAll();
            for (Map.Entry<String, Membership> entry : members.entrySet()) {
                for (MemberUpdate update : entry.getValue().others()) {
                    if (update.status() != MemberStatus.ALIVE) {
                        return "a running member that can be reached stays " + update.status() + ": "
                                + update.identity().name() + " at " + entry.getKey();
                    }
                }
                if (entry.getValue().presentCount() != MEMBERS) {
                    return entry.getKey() + " does not have all members present";
                }
            }
            return null;
        }
    }
}
