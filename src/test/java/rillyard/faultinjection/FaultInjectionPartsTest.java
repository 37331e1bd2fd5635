package rillyard.faultinjection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rillyard.config.InvalidConfigException;
import rillyard.faultinjection.MembershipTimeline.StateChange;

/** Tests plans, fault schedules and histories without processes. */
class FaultInjectionPartsTest {
    private static final FleetProcess A = FleetProcess.of(0, 2, 1);
    private static final FleetProcess B = FleetProcess.of(1, 2, 1);

    private static InjectedFault fault(InjectedFault.Kind kind, String on, String to, boolean oneWay, double share) {
        return new InjectedFault(
                0, kind, new ProcessPattern(on), new ProcessPattern(to), HostPattern.NONE, oneWay, 1_000, share, 40);
    }

    @Test
    void oneWayPartitionKeepsOtherDirection() {
        DatagramFaults faults = new DatagramFaults(1);
        InjectedFault cut = fault(InjectedFault.Kind.LOSE, "m0", "zone:1", true, 1);
        faults.begin(cut);
        assertThat(faults.copyDelays(A, B)).isEmpty();
        assertThat(faults.copyDelays(B, A)).hasSize(1);
        faults.end(cut);
        assertThat(faults.copyDelays(A, B)).containsExactly(0);
    }

    @Test
    void sameSeedDrawsSameCopiesAndDelays() {
        DatagramFaults faults = new DatagramFaults(3);
        faults.begin(fault(InjectedFault.Kind.DOUBLE, "all", "all", false, 1));
        faults.begin(fault(InjectedFault.Kind.DELAY, "all", "all", false, 0));
        double[] once = faults.copyDelays(A, B);
        assertThat(once).hasSize(2);
        assertThat(once[0]).isNotEqualTo(once[1]).isBetween(0.0, 40.0);
        DatagramFaults again = new DatagramFaults(3);
        again.begin(fault(InjectedFault.Kind.DOUBLE, "all", "all", false, 1));
        again.begin(fault(InjectedFault.Kind.DELAY, "all", "all", false, 0));
        assertThat(again.copyDelays(A, B)).containsExactly(once);
    }

    @Test
    void invalidProcessPatternIsRejectedWithExpectedForm() {
        assertThat(new ProcessPattern("m3, m10-m12").matches(FleetProcess.of(11, 1, 1)))
                .isTrue();
        assertThat(new ProcessPattern("m3, m10-m12").matches(FleetProcess.of(4, 1, 1)))
                .isFalse();
        assertThatThrownBy(() -> new ProcessPattern("zone 1"))
                .hasMessageContaining("expected all, zone:1, region:0, m3 or m10-m19");
        assertThatThrownBy(() -> FaultInjectionPlanReader.parse(
                        "p", "processes = 1\n[[fault]]\nkind = \"kil\"\non = \"x\"\n", Path.of("")))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessageContaining("p:1")
                .hasMessageContaining("did you mean 'kill'")
                .hasMessageContaining("p:4");
    }

    @Test
    void loadOfUnservedClassIsRejected(@TempDir Path folder) throws Exception {
        Files.writeString(folder.resolve("load.toml"), "[[class]]\nname = \"list\"\n[[shape]]\nrate = 5\n");
        assertThatThrownBy(() -> FaultInjectionPlanReader.parse("p", "processes = 3\nload = \"load.toml\"\n", folder))
                .isInstanceOf(InvalidConfigException.class)
                .hasMessageContaining("p:2")
                .hasMessageContaining("'list', AT_MOST_ONCE")
                .hasMessageContaining("list=IDEMPOTENT");
    }

    @Test
    void randomFaultScheduleIsRepeatableAndEndsQuietly() throws Exception {
        FaultInjectionPlan plan =
                FaultInjectionPlanReader.parse("p", "processes = 12\nzones = 3\nfor_s = 200\n", Path.of(""));
        List<InjectedFault> drawn = RandomFaultSchedule.draw(plan, Set.of(RandomFaultSchedule.Kind.values()), 5);
        assertThat(drawn).hasSizeGreaterThan(15).allSatisfy(fault -> assertThat(fault.startMs() + fault.durationMs())
                .isLessThan(0.66 * 200_000));
        assertThat(drawn.stream().map(InjectedFault::target).distinct()).hasSize(3);
        assertThat(drawn.stream().filter(injectedFault -> injectedFault.kind() == InjectedFault.Kind.KILL))
                .hasSizeLessThanOrEqualTo(3);
        assertThat(RandomFaultSchedule.draw(plan, Set.of(RandomFaultSchedule.Kind.values()), 5))
                .hasToString(drawn.toString());
        assertThat(RandomFaultSchedule.draw(plan, Set.of(RandomFaultSchedule.Kind.values()), 6))
                .doesNotHaveToString(drawn.toString());
    }

    @Test
    void insufficientCapacityIsReportedBeforeStart() {
        assertThatThrownBy(() -> MachineCapacity.check(1_000_000, 4)).hasMessageContaining("MB are free");
        assertThatThrownBy(() -> MachineCapacity.check(4, 100_000_000))
                .hasMessageContaining("descriptors")
                .hasMessageContaining("ulimit -n");
    }

    @Test
    void agreementBeginsWithLastProcessToAgree() {
        MembershipTimeline timeline = new MembershipTimeline(List.of(
                new StateChange(1, "a", "a", "ALIVE"),
                new StateChange(2, "a", "b", "ALIVE"),
                new StateChange(3, "b", "b", "ALIVE"),
                new StateChange(9, "b", "a", "ALIVE"),
                new StateChange(5, "a", "c", "ALIVE"),
                new StateChange(12, "a", "c", "DEAD")));
        assertThat(timeline.agreedSince(Set.of("a", "b"))).isEqualTo(12);
        assertThat(timeline.agreedSince(Set.of("a", "b", "c"))).isEqualTo(-1);
        assertThat(timeline.detectionTimes("c", 0, Set.of("a", "b"))).containsExactly(java.util.Map.entry("a", 12L));
        assertThat(timeline.presentMembers(10).get("a")).containsExactlyInAnyOrder("a", "b", "c");
    }

    @Test
    void unterminatedLastLineIsSkippedAndMalformedLineIsReported(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("h");
        Files.writeString(file, "{\"at\":1,\"member\":\"a\",\"about\":\"b\",\"status\":\"DEAD\"}\n{\"at\":2,\"mem");
        assertThat(MembershipTimeline.read(List.of(file, folder.resolve("none")))
                        .changes())
                .hasSize(1);
        Files.writeString(file, "{\"at\":1}\n");
        assertThatThrownBy(() -> MembershipTimeline.read(List.of(file)))
                .hasMessageContaining("h:1: expected at, member");
    }
}
