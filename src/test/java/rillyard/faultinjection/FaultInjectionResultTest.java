package rillyard.faultinjection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import rillyard.faultinjection.MembershipTimeline.StateChange;

/** Tests which declared deaths a fault excuses: m0 and m2 are in zone 0, m1 and m3 in zone 1. */
class FaultInjectionResultTest {
    private static final long BEGUN = 1_000_000;

    private static int falseDeaths(InjectedFault fault, String by, String about, long atMs) {
        FaultInjectionPlan plan =
                new FaultInjectionPlan(1, 4, 2, 1, 60_000, "", false, null, null, List.of(), List.of(fault));
        MembershipTimeline timeline = new MembershipTimeline(List.of(new StateChange(BEGUN + atMs, by, about, "DEAD")));
        FaultInjectionResult.ExecutedStep done =
                new FaultInjectionResult.ExecutedStep(BEGUN + (long) fault.startMs(), fault, true);
        return new FaultInjectionResult(plan, BEGUN, List.of(done), Set.of(by), timeline, "")
                .falseDeaths()
                .size();
    }

    private static InjectedFault fault(InjectedFault.Kind kind, String on, String to, double lasts) {
        return new InjectedFault(
                1_000, kind, new ProcessPattern(on), new ProcessPattern(to), HostPattern.NONE, false, lasts, 1, 0);
    }

    @Test
    void partitionExcusesSeparatedObserversOnly() {
        InjectedFault cut = fault(InjectedFault.Kind.LOSE, "zone:0", "zone:1", 8_000);
        assertThat(falseDeaths(cut, "m0", "m1", 5_000)).isZero();
        assertThat(falseDeaths(cut, "m1", "m0", 5_000)).isZero();
        assertThat(falseDeaths(cut, "m0", "m2", 5_000)).as("of its own side").isEqualTo(1);
        assertThat(falseDeaths(cut, "m0", "m2", 10_000))
                .as("words of the other side, after it")
                .isZero();
        assertThat(falseDeaths(cut, "m0", "m1", 30_000)).as("long after it").isEqualTo(1);
    }

    @Test
    void killExcusesPermanentlyRestartAndStopTemporarily() {
        assertThat(falseDeaths(fault(InjectedFault.Kind.KILL, "m1", "m1", 0), "m0", "m1", 50_000))
                .isZero();
        assertThat(falseDeaths(fault(InjectedFault.Kind.RESTART, "m1", "m1", 0), "m0", "m1", 5_000))
                .isZero();
        assertThat(falseDeaths(fault(InjectedFault.Kind.RESTART, "m1", "m1", 0), "m0", "m1", 50_000))
                .isEqualTo(1);
        assertThat(falseDeaths(fault(InjectedFault.Kind.STOP, "m1", "m1", 5_000), "m0", "m1", 50_000))
                .isEqualTo(1);
        assertThat(falseDeaths(fault(InjectedFault.Kind.KILL, "m1", "m1", 0), "m0", "m3", 5_000))
                .as("of another")
                .isEqualTo(1);
    }
}
