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

/** Three members that know each other, and all that a network and a bounded number of restarts do to them. */
final class MembershipModel implements Model<String> {
    private static final int MEMBERS = 3;
    private static final double STEP = 250;
    private static final int IN_FLIGHT = 6;
    private static final int CHOICES = 3;
    private static final int RESTARTS = 1;
    private static final int JOIN_STEPS = 12;
    private static final int FAIR_STEPS = 240;

    private record Flying(String from, MemberAddress source, MemberAddress to, Message message) {
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

    private final UnaryOperator<Message> change;
    private final BiPredicate<String, Message> passes;

    /**
     * A model with a fault put in.
     *
     * @param change what becomes of each message on its way
     * @param passes which messages of which sender are sent at all, once all know each other
     */
    MembershipModel(UnaryOperator<Message> change, BiPredicate<String, Message> passes) {
        this.change = change;
        this.passes = passes;
    }

    MembershipModel() {
        this(message -> message, (from, m) -> true);
    }

    @Override
    public Run<String> newRun() {
        return new OneRun();
    }

    private final class OneRun implements Run<String> {
        private final Map<String, Membership> members = new TreeMap<>();
        private final Map<String, Double> startedAt = new HashMap<>();
        private final List<Flying> flying = new ArrayList<>();
        private final Map<String, Set<Incarnation>> spoken = new HashMap<>();
        private Map<String, Incarnation> before = new HashMap<>();
        private double now;
        private boolean joined;
        private int restarts;
        private String broken;

        OneRun() {
            for (int i = 0; i < MEMBERS; i++) {
                begin(i, 1_000);
            }
            for (int i = 0; i < JOIN_STEPS; i++) {
                step();
                deliverAll();
            }
            before = lives();
            joined = true;
        }

        private MemberAddress at(int i) {
            return new MemberAddress(1 + i, 1);
        }

        private void begin(int i, long start) {
            String name = "m" + i;
            startedAt.put(name, now);
            Membership.Output out = new Membership.Output() {
                @Override
                public void send(MemberAddress to, Message message) {
                    spoken.computeIfAbsent(name, n -> new HashSet<>())
                            .add(message.sender().incarnation());
                    if ((!joined || passes.test(name, message)) && flying.size() < IN_FLIGHT * (now == 0 ? 100 : 1)) {
                        flying.add(new Flying(name, at(i), to, change.apply(message)));
                    }
                }

                @Override
                public void onMembershipEvent(MembershipEvent event) {}
            };
            List<MemberAddress> seeds = List.of(at(0), at(1), at(2));
            // Chance is taken away: each draw is its least.
            members.put(
                    name,
                    new Membership(
                            MembershipSettings.DEFAULT,
                            new MemberIdentity(name, at(i), 0, 0),
                            start,
                            seeds,
                            () -> 0L,
                            out));
        }

        private double time(String name) {
            return now - startedAt.get(name);
        }

        private void step() {
            now += STEP;
            members.forEach((name, membership) -> membership.onTick(time(name)));
        }

        private void deliver(Flying flying) {
            String to = "m" + (flying.to.ip() - 1);
            members.get(to).onMessage(time(to), flying.source, flying.message);
        }

        private void deliverAll() {
            while (!flying.isEmpty()) {
                deliver(flying.remove(0));
            }
        }

        @Override
        public List<String> actions() {
            List<String> all = new ArrayList<>(List.of("time"));
            for (int i = 0; i < Math.min(CHOICES, flying.size()); i++) {
                all.add("deliver " + i + ": " + flying.get(i));
                all.add("lose " + i + ": " + flying.get(i));
                all.add("double " + i + ": " + flying.get(i));
            }
            if (restarts < RESTARTS) {
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
                before.keySet().removeIf(k -> k.startsWith("m0:"));
                begin(0, action.endsWith("back") ? 500 : 9_000);
            } else {
                int i = action.charAt(action.indexOf(' ') + 1) - '0';
                switch (action.charAt(0) + "" + action.charAt(1)) {
                    case "de" -> deliver(flying.remove(i));
                    case "lo" -> flying.remove(i);
                    default -> deliver(flying.get(i));
                }
            }
            check();
        }

        /** The lives that each holds of the others. */
        private Map<String, Incarnation> lives() {
            Map<String, Incarnation> all = new HashMap<>();
            members.forEach((name, membership) -> membership
                    .others()
                    .forEach(update -> all.put(name + ":" + update.identity().name(), update.incarnation())));
            return all;
        }

        private void check() {
            Map<String, Incarnation> after = lives();
            after.forEach((who, life) -> {
                Incarnation old = before.get(who);
                if (old != null && life.compareTo(old) < 0) {
                    broken = "an older life has overridden a newer one: " + who;
                }
                String about = who.substring(3);
                if (!spoken.getOrDefault(about, Set.of()).contains(life)) {
                    broken = "somebody has spoken for another's incarnation: " + who + " holds " + life;
                }
            });
            before = after;
        }

        @Override
        public String violation() {
            return broken;
        }

        @Override
        public String state() {
            StringBuilder out = new StringBuilder().append(restarts).append(flying);
            members.forEach((name, membership) -> out.append('\n').append(membership.state(time(name))));
            return out.toString();
        }

        @Override
        public String violationAfterFairRun() {
            for (int i = 0; i < FAIR_STEPS; i++) {
                deliverAll();
                step();
            }
            deliverAll();
            for (Map.Entry<String, Membership> e : members.entrySet()) {
                for (MemberUpdate update : e.getValue().others()) {
                    if (update.status() != MemberStatus.ALIVE) {
                        return "a live process that is heard stays " + update.status() + ": "
                                + update.identity().name() + " to " + e.getKey();
                    }
                }
                if (e.getValue().present() != MEMBERS) {
                    return e.getKey() + " does not know all";
                }
            }
            return null;
        }
    }
}
