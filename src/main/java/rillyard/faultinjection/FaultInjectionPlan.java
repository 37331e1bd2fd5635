package rillyard.faultinjection;

import java.util.List;
import rillyard.loadgen.LoadPlan;
import rillyard.testserver.TestClusterPlan;

/**
 * What a fault-injection run starts and does.
 *
 * @param processes how many processes of this program
 * @param zones processes are dealt to them in turn
 * @param regions zones are dealt to them in turn
 * @param lasts ms of the fault schedule, from when all have found each other
 * @param membership lines for the {@code [membership]} table of each process's settings
 * @param news whether the processes tell each other which hosts fail, and how much each sends
 * @param hosts what the processes send to; its own faults begin with the fault schedule
 * @param load what clients ask of the processes, client k of number k modulo the processes; null for nothing
 * @param clocks processes whose clocks go wrong
 */
public record FaultInjectionPlan(
        long seed,
        int processes,
        int zones,
        int regions,
        double lasts,
        String membership,
        boolean news,
        TestClusterPlan hosts,
        LoadPlan load,
        List<Clock> clocks,
        List<InjectedFault> faults) {
    /** Copies the lists. */
    public FaultInjectionPlan {
        clocks = List.copyOf(clocks);
        faults = List.copyOf(faults);
    }

    /** Processes whose clock passes so many ms in one. */
    record Clock(ProcessPattern on, double rate) {}

    List<FleetProcess> members() {
        return java.util.stream.IntStream.range(0, processes)
                .mapToObj(this::member)
                .toList();
    }

    FleetProcess member(int index) {
        return FleetProcess.of(index, zones, regions);
    }

    /** The process that serves a client: {@link rillyard.loadgen.LoadRun} gives each the target of its number. */
    FleetProcess serving(int client) {
        return member(client % processes);
    }

    /** The rate of a process's clock, 1 as a rule. */
    double clockRate(FleetProcess process) {
        return clocks.stream()
                .filter(clock -> clock.on().matches(process))
                .mapToDouble(Clock::rate)
                .findFirst()
                .orElse(1);
    }

    /** The same with these faults besides. */
    public FaultInjectionPlan with(List<InjectedFault> more) {
        List<InjectedFault> all = new java.util.ArrayList<>(faults);
        all.addAll(more);
        all.sort(java.util.Comparator.comparingDouble(InjectedFault::startMs));
        return new FaultInjectionPlan(
                seed, processes, zones, regions, lasts, membership, news, hosts, load, clocks, all);
    }
}
