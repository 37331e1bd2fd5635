package rillyard.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/** Fleets of any size under any faults: once these are over all that live hold just each other. */
class MembershipPropertiesTest {
    private static final double S = 1_000;

    /** What may happen. */
    enum What {
        KILL,
        RESTART,
        STOP,
        CUT,
        ONE_WAY,
        LOSE,
        HEAL
    }

    /** Something that happens to member {@code who}, and how much time (ms) passes after. */
    record Step(What what, int who, int ms) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of(What.class),
                        Arbitraries.integers().between(0, 59),
                        Arbitraries.integers().between(0, 15_000))
                .as(Step::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(12);
    }

    @Property(tries = 40, seed = "20261201")
    void allThatLiveAreOneAgain(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 2, max = 60) int members,
            @ForAll("steps") List<Step> steps) {
        VirtualFleet fleet = new VirtualFleet(seed, members);
        assertThat(fleet.untilAgreed(30 * S)).as("joined").isNotNegative();
        Map<String, Incarnation> spoken = new HashMap<>();
        for (Step step : steps) {
            happens(fleet, step, step.who() % members);
            fleet.run(step.ms());
            noLifeThatWasNotSpoken(fleet);
            noOwnLifeGoesBack(fleet, spoken);
        }
        heal(fleet);
        fleet.run(15 * S); // stops are over
        assertThat(fleet.untilAgreed(90 * S)).as("agreed").isNotNegative();
        int deaths = fleet.deaths.size();
        fleet.run(30 * S);
        assertThat(fleet.deaths.subList(deaths, fleet.deaths.size()))
                .as("deaths where nothing is wrong any more")
                .isEmpty();
    }

    private static void happens(VirtualFleet fleet, Step step, int who) {
        switch (step.what()) {
            case KILL -> {
                if (fleet.nodes.values().stream().filter(node -> !node.dead).count() > 2
                        && who > 2) { // seeds stay, as advised
                    fleet.kill(who);
                }
            }
            case RESTART -> {
                fleet.kill(who);
                fleet.run(50);
                fleet.start(who);
            }
            case STOP -> fleet.stop(who, step.ms());
            case CUT -> fleet.links = (a, b) -> number(a) % (2 + who % 2) == number(b) % (2 + who % 2);
            case ONE_WAY -> fleet.links = (a, b) -> number(a) != who;
            case LOSE -> {
                fleet.loss = 0.3;
                fleet.doubled = 0.3;
                fleet.delay = 40;
            }
            case HEAL -> heal(fleet);
        }
    }

    private static void heal(VirtualFleet fleet) {
        fleet.links = (a, b) -> true;
        fleet.loss = 0;
        fleet.doubled = 0;
        fleet.delay = 2;
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    private static void noLifeThatWasNotSpoken(VirtualFleet fleet) {
        for (VirtualFleet.Node node : fleet.nodes.values()) {
            for (MemberUpdate update : node.member.others()) {
                Incarnation own =
                        fleet.nodes.get(update.identity().name()).member.self().incarnation();
                assertThat(update.incarnation())
                        .as("%s, as %s holds it", update.identity().name(), node.name)
                        .isLessThanOrEqualTo(own);
            }
        }
    }

    private static void noOwnLifeGoesBack(VirtualFleet fleet, Map<String, Incarnation> spoken) {
        for (VirtualFleet.Node node : fleet.nodes.values()) {
            Incarnation now = node.member.self().incarnation();
            Incarnation before = spoken.put(node.name, now);
            assertThat(before == null || before.compareTo(now) <= 0)
                    .as(node.name)
                    .isTrue();
        }
    }
}
