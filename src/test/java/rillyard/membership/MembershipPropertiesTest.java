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
        VirtualFleet f = new VirtualFleet(seed, members);
        assertThat(f.untilAgreed(30 * S)).as("joined").isNotNegative();
        Map<String, Incarnation> spoken = new HashMap<>();
        for (Step s : steps) {
            happens(f, s, s.who() % members);
            f.run(s.ms());
            noLifeThatWasNotSpoken(f);
            noOwnLifeGoesBack(f, spoken);
        }
        heal(f);
        f.run(15 * S); // stops are over
        assertThat(f.untilAgreed(90 * S)).as("agreed").isNotNegative();
        int deaths = f.deaths.size();
        f.run(30 * S);
        assertThat(f.deaths.subList(deaths, f.deaths.size()))
                .as("deaths where nothing is wrong any more")
                .isEmpty();
    }

    private static void happens(VirtualFleet f, Step s, int who) {
        switch (s.what()) {
            case KILL -> {
                if (f.nodes.values().stream().filter(n -> !n.dead).count() > 2 && who > 2) { // seeds stay, as advised
                    f.kill(who);
                }
            }
            case RESTART -> {
                f.kill(who);
                f.run(50);
                f.start(who);
            }
            case STOP -> f.stop(who, s.ms());
            case CUT -> f.links = (a, b) -> number(a) % (2 + who % 2) == number(b) % (2 + who % 2);
            case ONE_WAY -> f.links = (a, b) -> number(a) != who;
            case LOSE -> {
                f.loss = 0.3;
                f.doubled = 0.3;
                f.delay = 40;
            }
            case HEAL -> heal(f);
        }
    }

    private static void heal(VirtualFleet f) {
        f.links = (a, b) -> true;
        f.loss = 0;
        f.doubled = 0;
        f.delay = 2;
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    private static void noLifeThatWasNotSpoken(VirtualFleet f) {
        for (VirtualFleet.Node n : f.nodes.values()) {
            for (MemberUpdate u : n.member.others()) {
                Incarnation own = f.nodes.get(u.card().name()).member.self().life();
                assertThat(u.life())
                        .as("%s, as %s holds it", u.card().name(), n.name)
                        .isLessThanOrEqualTo(own);
            }
        }
    }

    private static void noOwnLifeGoesBack(VirtualFleet f, Map<String, Incarnation> spoken) {
        for (VirtualFleet.Node n : f.nodes.values()) {
            Incarnation now = n.member.self().life();
            Incarnation before = spoken.put(n.name, now);
            assertThat(before == null || before.compareTo(now) <= 0).as(n.name).isTrue();
        }
    }
}
