package rillyard.faultinjection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Draws a random fault schedule; the same seed, plan and kinds give the same schedule. */
public final class RandomFaultSchedule {
    /** The groups of faults to draw from; the names are values of a command-line option. */
    public enum Kind {
        /** Datagram loss, duplication and delay, and zones partitioned in one or both directions. */
        LINKS,
        /** Processes stopped, or starved of CPU time. */
        PAUSES,
        /** Processes killed and restarted, or killed permanently. */
        KILLS,
        /** Connections to hosts that are silent, reset, slow or refused. */
        HOSTS
    }

    private static final ProcessPattern ALL = new ProcessPattern("all");
    private static final List<InjectedFault.Kind> CONNECTION_FAULTS = List.of(
            InjectedFault.Kind.SILENT, InjectedFault.Kind.RESET, InjectedFault.Kind.SLOW, InjectedFault.Kind.REFUSED);

    /** Mean time in milliseconds between the starts of two faults, which may overlap. */
    private static final double MEAN_INTERVAL_MS = 4_000;

    private static final double MIN_DURATION_MS = 500;
    private static final double MAX_DURATION_MS = 8_000;

    /** Share of the schedule without faults at its end, in which all processes should converge. */
    private static final double QUIET_SHARE = 0.35;

    /** Maximum share of the processes that is killed permanently. */
    private static final double MAX_KILLED_SHARE = 0.25;

    private final FaultInjectionPlan plan;
    private final SplittableRandom random;
    private final List<Kind> kinds;
    private int killed;

    private RandomFaultSchedule(FaultInjectionPlan plan, Set<Kind> kinds, long seed) {
        this.plan = plan;
        this.random = new SplittableRandom(seed);
        this.kinds = kinds.stream().sorted().toList();
    }

    /** Draws the faults of a plan, in the order of their starts. */
    public static List<InjectedFault> draw(FaultInjectionPlan plan, Set<Kind> kinds, long seed) {
        RandomFaultSchedule schedule = new RandomFaultSchedule(plan, kinds, seed);
        List<InjectedFault> faults = new ArrayList<>();
        double endMs = plan.durationMs() * (1 - QUIET_SHARE);
        double startMs = schedule.random.nextExponential() * MEAN_INTERVAL_MS;
        while (startMs < endMs && !schedule.kinds.isEmpty()) {
            faults.add(schedule.nextFault(startMs, endMs));
            startMs += schedule.random.nextExponential() * MEAN_INTERVAL_MS;
        }
        faults.sort(Comparator.comparingDouble(InjectedFault::startMs));
        return List.copyOf(faults);
    }

    private InjectedFault nextFault(double startMs, double endMs) {
        double durationMs = Math.min(
                MIN_DURATION_MS + random.nextDouble() * (MAX_DURATION_MS - MIN_DURATION_MS),
                Math.max(MIN_DURATION_MS, endMs - startMs));
        return switch (kinds.get(random.nextInt(kinds.size()))) {
            case LINKS -> datagramFault(startMs, durationMs);
            case PAUSES -> pause(startMs, durationMs);
            case KILLS -> kill(startMs);
            case HOSTS -> connectionFault(startMs, durationMs);
        };
    }

    private InjectedFault pause(double startMs, double durationMs) {
        boolean starve = random.nextBoolean();
        InjectedFault.Kind kind = starve ? InjectedFault.Kind.STARVE : InjectedFault.Kind.STOP;
        ProcessPattern process = anyProcess();
        double share = starve ? 0.5 + 0.4 * random.nextDouble() : 0;
        return new InjectedFault(startMs, kind, process, ALL, HostPattern.NONE, false, durationMs, share, 0);
    }

    private InjectedFault kill(double startMs) {
        boolean permanent = killed + 1 <= MAX_KILLED_SHARE * plan.processes() && random.nextInt(3) == 0;
        killed += permanent ? 1 : 0;
        // Permanently killed processes are taken from the last one down, so that none is stopped or restarted.
        ProcessPattern process = permanent ? new ProcessPattern("m" + (plan.processes() - killed)) : anyProcess();
        InjectedFault.Kind kind = permanent ? InjectedFault.Kind.KILL : InjectedFault.Kind.RESTART;
        return new InjectedFault(startMs, kind, process, process, HostPattern.NONE, false, 0, 0, 0);
    }

    private InjectedFault connectionFault(double startMs, double durationMs) {
        var hosts = plan.hosts().hosts();
        HostPattern target = new HostPattern(
                random.nextInt(5) == 0
                        ? HostPattern.DISCOVERY
                        : hosts.get(random.nextInt(hosts.size())).id());
        InjectedFault.Kind kind = CONNECTION_FAULTS.get(random.nextInt(CONNECTION_FAULTS.size()));
        ProcessPattern processes = anyGroup();
        double delayMs = 20 + random.nextInt(200);
        return new InjectedFault(startMs, kind, processes, ALL, target, false, durationMs, 0, delayMs);
    }

    private InjectedFault datagramFault(double startMs, double durationMs) {
        ProcessPattern processes = anyGroup();
        return switch (random.nextInt(4)) {
            case 0 -> {
                double share = random.nextDouble();
                yield datagramFault(startMs, InjectedFault.Kind.DOUBLE, processes, false, durationMs, share, 0);
            }
            case 1 -> {
                double delayMs = 5 + random.nextInt(60);
                yield datagramFault(startMs, InjectedFault.Kind.DELAY, processes, false, durationMs, 0, delayMs);
            }
            case 2 -> {
                double share = 0.3 * random.nextDouble();
                yield datagramFault(startMs, InjectedFault.Kind.LOSE, processes, false, durationMs, share, 0);
            }
            default -> {
                boolean oneWay = random.nextBoolean();
                yield datagramFault(startMs, InjectedFault.Kind.LOSE, processes, oneWay, durationMs, 1, 0);
            }
        };
    }

    private static InjectedFault datagramFault(
            double startMs,
            InjectedFault.Kind kind,
            ProcessPattern processes,
            boolean oneWay,
            double durationMs,
            double share,
            double delayMs) {
        return new InjectedFault(startMs, kind, processes, ALL, HostPattern.NONE, oneWay, durationMs, share, delayMs);
    }

    /** Returns a pattern of one process, which is not among those that may be killed permanently. */
    private ProcessPattern anyProcess() {
        return new ProcessPattern("m" + random.nextInt(Math.max(1, (int) (plan.processes() * (1 - MAX_KILLED_SHARE)))));
    }

    private ProcessPattern anyGroup() {
        return plan.zones() > 1 && random.nextBoolean()
                ? new ProcessPattern("zone:" + random.nextInt(plan.zones()))
                : anyProcess();
    }
}
