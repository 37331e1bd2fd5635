package rillyard.trial;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import rillyard.trial.Beliefs.Belief;

/** Which deaths a fault excuses: m0 and m2 are in zone 0, m1 and m3 in zone 1. */
class TrialResultTest {
    private static final long BEGUN = 1_000_000;

    private static int falseDeaths(Fault f, String by, String about, long atMs) {
        TrialPlan plan = new TrialPlan(1, 4, 2, 1, 60_000, "", false, null, null, List.of(), List.of(f));
        Beliefs b = new Beliefs(List.of(new Belief(BEGUN + atMs, by, about, "DEAD")));
        TrialResult.Done done = new TrialResult.Done(BEGUN + (long) f.at(), f, true);
        return new TrialResult(plan, BEGUN, List.of(done), Set.of(by), b, "")
                .falseDeaths()
                .size();
    }

    private static Fault fault(Fault.Kind kind, String on, String to, double lasts) {
        return new Fault(1_000, kind, new Group(on), new Group(to), HostGroup.NONE, false, lasts, 1, 0);
    }

    @Test
    void aCutExcusesThoseItKeepsApartAndNobodyWhoCanHearTheOther() {
        Fault cut = fault(Fault.Kind.LOSE, "zone:0", "zone:1", 8_000);
        assertThat(falseDeaths(cut, "m0", "m1", 5_000)).isZero();
        assertThat(falseDeaths(cut, "m1", "m0", 5_000)).isZero();
        assertThat(falseDeaths(cut, "m0", "m2", 5_000)).as("of its own side").isEqualTo(1);
        assertThat(falseDeaths(cut, "m0", "m2", 10_000))
                .as("words of the other side, after it")
                .isZero();
        assertThat(falseDeaths(cut, "m0", "m1", 30_000)).as("long after it").isEqualTo(1);
    }

    @Test
    void aKillExcusesForGoodARestartAndAStopForAWhileOnly() {
        assertThat(falseDeaths(fault(Fault.Kind.KILL, "m1", "m1", 0), "m0", "m1", 50_000))
                .isZero();
        assertThat(falseDeaths(fault(Fault.Kind.RESTART, "m1", "m1", 0), "m0", "m1", 5_000))
                .isZero();
        assertThat(falseDeaths(fault(Fault.Kind.RESTART, "m1", "m1", 0), "m0", "m1", 50_000))
                .isEqualTo(1);
        assertThat(falseDeaths(fault(Fault.Kind.STOP, "m1", "m1", 5_000), "m0", "m1", 50_000))
                .isEqualTo(1);
        assertThat(falseDeaths(fault(Fault.Kind.KILL, "m1", "m1", 0), "m0", "m3", 5_000))
                .as("of another")
                .isEqualTo(1);
    }
}
