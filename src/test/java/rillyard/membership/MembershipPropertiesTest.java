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

/** Fleets of any size under any faults converge once the faults are over. */
class MembershipPropertiesTest {
    private static final double SECOND = 1_000;

    /** Kinds of faults. */
    enum Fault {
        KILL,
        RESTART,
        STOP,
        CUT,
        ONE_WAY,
        LOSE,
        HEAL
    }

    /** A fault of a member, and the time that passes after it. */
    record FaultStep(Fault fault, int member, int durationMillis) {}

    @Provide
    Arbitrary<List<FaultStep>> steps() {
        return Combinators.combine(
                        Arbitraries.of(Fault.class),
                        Arbitraries.integers().between(0, 59),
                        Arbitraries.integers().between(0, 15_000))
                .as(FaultStep::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(12);
    }

    @Property(tries = 40, seed = "20261201")
    void runningMembersConvergeAfterFaults(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 2, max = 60) int members,
            @ForAll("steps") List<FaultStep> steps) {
        VirtualFleet fleet = new VirtualFleet(seed, members);
        assertThat(fleet.runUntilConverged(30 * SECOND)).as("join (ms)").isNotNegative();
        Map<String, Incarnation> announced = new HashMap<>();
        for (FaultStep step : steps) {
            apply(fleet, step, step.member() % members);
            fleet.run(step.durationMillis());
            assertNoUnannouncedIncarnation(fleet);
            assertOwnIncarnationsNeverDecrease(fleet, announced);
        }
        heal(fleet);
        fleet.run(15 * SECOND); // pauses are over
        assertThat(fleet.runUntilConverged(90 * SECOND)).as("convergence (ms)").isNotNegative();
        int deaths = fleet.deaths.size();
        fleet.run(30 * SECOND);
        assertThat(fleet.deaths.subList(deaths, fleet.deaths.size()))
                .as("deaths after all faults")
                .isEmpty();
    }

    private static void apply(VirtualFleet fleet, FaultStep step, int target) {
        switch (step.fault()) {
            case KILL -> {
                if (fleet.nodes.values().stream().filter(node -> !node.isKilled).count() > 2
                        && target > 2) { // seeds are not killed for good, as members rejoin through them
                    fleet.kill(target);
                }
            }
            case RESTART -> {
                fleet.kill(target);
                fleet.run(50);
                fleet.start(target);
            }
            case STOP -> fleet.pause(target, step.durationMillis());
            case CUT ->
                fleet.connectivity = (from, to) -> number(from) % (2 + target % 2) == number(to) % (2 + target % 2);
            case ONE_WAY -> fleet.connectivity = (from, to) -> number(from) != target;
            case LOSE -> {
                fleet.lossProbability = 0.3;
                fleet.duplicationProbability = 0.3;
                fleet.maxDelayMillis = 40;
            }
            case HEAL -> heal(fleet);
        }
    }

    private static void heal(VirtualFleet fleet) {
        fleet.connectivity = (from, to) -> true;
        fleet.lossProbability = 0;
        fleet.duplicationProbability = 0;
        fleet.maxDelayMillis = 2;
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    private static void assertNoUnannouncedIncarnation(VirtualFleet fleet) {
        for (VirtualFleet.Node node : fleet.nodes.values()) {
            for (MemberUpdate update : node.member.others()) {
                Incarnation own =
                        fleet.nodes.get(update.identity().name()).member.self().incarnation();
                assertThat(update.incarnation())
                        .as("%s, as known to %s", update.identity().name(), node.name)
                        .isLessThanOrEqualTo(own);
            }
        }
    }

    private static void assertOwnIncarnationsNeverDecrease(VirtualFleet fleet, Map<String, Incarnation> announced) {
        for (VirtualFleet.Node node : fleet.nodes.values()) {
            Incarnation current = node.member.self().incarnation();
            Incarnation previous = announced.put(node.name, current);
            assertThat(previous == null || previous.compareTo(current) <= 0)
                    .as(node.name)
                    .isTrue();
        }
    }
}
