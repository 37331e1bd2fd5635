package rillyard.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Measures membership on a virtual clock for docs/PERFORMANCE.md; rillyard.figures, the member count, enables it. */
@EnabledIfSystemProperty(named = "rillyard.figures", matches = "\\d+")
class MembershipStatisticsTest {
    private static final double SECOND = 1_000;
    private static final int KILLED_MEMBER = 7;

    /** Loss, with the same probability of duplication, and a delay of up to 40 ms if there is any loss. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.05, 0.3})
    void detectionTimesAndCosts(double loss) {
        assumeTrue(loss >= Double.parseDouble(System.getProperty("rillyard.figures.loss", "0")));
        int members = Integer.getInteger("rillyard.figures");
        double seconds = Integer.getInteger("rillyard.figures.seconds", 600);
        for (long seed = 1; seed <= Integer.getInteger("rillyard.figures.seeds", 3); seed++) {
            VirtualFleet fleet = new VirtualFleet(seed, members);
            double joinMillis = fleet.runUntilConverged(240 * SECOND);
            fleet.run(5 * SECOND);
            fleet.lossProbability = loss;
            fleet.duplicationProbability = loss;
            fleet.maxDelayMillis = loss > 0 ? 40 : 2;
            fleet.sentDatagrams = 0;
            fleet.sentBytes = 0;
            fleet.run(seconds * SECOND);
            double memberSeconds = seconds * members;
            int falseDeaths = fleet.deaths.size();
            long falselyReported = fleet.deaths.stream().distinct().count();
            String costs = String.format(
                    Locale.ROOT,
                    "%.1f datagrams, %.0f bytes a second a member",
                    fleet.sentDatagrams / memberSeconds,
                    fleet.sentBytes / memberSeconds);
            fleet.kill(KILLED_MEMBER);
            double detectionMillis =
                    fleet.runUntil(60 * SECOND, () -> fleet.allReport("m" + KILLED_MEMBER, MemberStatus.DEAD));
            System.out.printf(
                    Locale.ROOT,
                    "%d members, loss %.2f, seed %d: joined %.1f s, false deaths %d of %d members in %.0f s, killed one"
                            + " reported dead by all after %.2f s, %s%n",
                    members,
                    loss,
                    seed,
                    joinMillis / SECOND,
                    falseDeaths,
                    falselyReported,
                    seconds,
                    detectionMillis / SECOND,
                    costs);
            assertThat(detectionMillis)
                    .as("time until all reported it dead (ms)")
                    .isNotNegative();
        }
    }

    /** CPU time and memory of one member in a fleet at rest. */
    @Test
    void singleMemberAtRest() {
        Membership first = measureSingleMember(); // loads classes, which would count as the second's memory
        assertThat(measureSingleMember().presentCount()).isEqualTo(first.presentCount());
    }

    private static Membership measureSingleMember() {
        int members = Integer.getInteger("rillyard.figures");
        long usedBytesBefore = usedMemoryBytes();
        SingleMemberSimulation simulation = new SingleMemberSimulation(members);
        simulation.run();
        Membership member = simulation.member();
        System.out.printf(
                Locale.ROOT,
                "one of %d at rest: %.4f %% of a core, %.2f MiB; %d present%n",
                members,
                simulation.cpuPercent(),
                (usedMemoryBytes() - usedBytesBefore) / 1048576.0,
                member.presentCount());
        assertThat(member.presentCount()).isEqualTo(members);
        return member;
    }

    private static long usedMemoryBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
