package rillyard.faultinjection;

import java.util.List;
import rillyard.loadgen.LoadPlan;
import rillyard.testserver.TestClusterPlan;

/**
 * The plan of a fault-injection run.
 *
 * @param seed seed of the random faults and of the datagram network
 * @param processes number of proxy processes
 * @param zones number of zones; processes are assigned to them round-robin
 * @param regions number of regions; zones are assigned to them round-robin
 * @param durationMs length of the fault schedule in milliseconds, from when all processes have found each other
 * @param membership lines for the {@code [membership]} table of each process's settings
 * @param gossip whether the processes exchange observations of failing hosts and their request rates
 * @param hosts the test hosts; their own faults begin with the fault schedule
 * @param load the load, or null for none; client k is served by process k modulo the number of processes
 * @param clocks processes whose clocks run at a wrong rate
 * @param faults the faults, in the order of their starts
 */
public record FaultInjectionPlan(
        long seed,
        int processes,
        int zones,
        int regions,
        double durationMs,
        String membership,
        boolean gossip,
        TestClusterPlan hosts,
        LoadPlan load,
        List<Clock> clocks,
        List<InjectedFault> faults) {
    /** Copies the lists. */
    public FaultInjectionPlan {
        clocks = List.copyOf(clocks);
        faults = List.copyOf(faults);
    }

    /**
     * Processes with a wrong clock rate.
     *
     * @param processes the processes
     * @param rate milliseconds that their clock advances in one millisecond
     */
    record Clock(ProcessPattern processes, double rate) {}

    /** Returns all processes in the order of their indexes. */
    List<FleetProcess> members() {
        return java.util.stream.IntStream.range(0, processes)
                .mapToObj(this::member)
                .toList();
    }

    /** Returns the process with an index from 0. */
    FleetProcess member(int index) {
        return FleetProcess.of(index, zones, regions);
    }

    /** Returns the process that serves a client: {@link rillyard.loadgen.LoadRun} assigns targets round-robin. */
    FleetProcess servingProcess(int client) {
        return member(client % processes);
    }

    /** Returns the clock rate of a process, 1 unless the plan sets another. */
    double clockRate(FleetProcess process) {
        return clocks.stream()
                .filter(clock -> clock.processes().matches(process))
                .mapToDouble(Clock::rate)
                .findFirst()
                .orElse(1);
    }

    /** Returns a copy of this plan with additional faults. */
    public FaultInjectionPlan withFaults(List<InjectedFault> additional) {
        List<InjectedFault> all = new java.util.ArrayList<>(faults);
        all.addAll(additional);
        all.sort(java.util.Comparator.comparingDouble(InjectedFault::startMs));
        return new FaultInjectionPlan(
                seed, processes, zones, regions, durationMs, membership, gossip, hosts, load, clocks, all);
    }
}
