package rillyard.faultinjection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Draws a fault schedule of faults from a seed; the same seed, plan and kinds give the same. */
public final class RandomFaultSchedule {
    /** What it may do. */
    public enum Kind {
        /** Datagrams lost, doubled, late; zones cut off, one way or both. */
        LINKS,
        /** Processes stopped, or starved of their core. */
        PAUSES,
        /** Processes killed and started again, or killed for good. */
        KILLS,
        /** Connections to hosts silent, reset, slow, rejected. */
        HOSTS
    }

    private static final ProcessPattern ALL = new ProcessPattern("all");
    private static final List<InjectedFault.Kind> CONNECTION_FAULTS = List.of(
            InjectedFault.Kind.SILENT, InjectedFault.Kind.RESET, InjectedFault.Kind.SLOW, InjectedFault.Kind.REFUSED);

    /** Mean time (ms) between the starts of two faults, which may overlap. */
    private static final double MEAN_INTERVAL_MS = 4_000;

    private static final double MIN_DURATION_MS = 500;
    private static final double MAX_DURATION_MS = 8_000;

    /** At the end all is quiet for this share of the time, so that it shows whether all agree again. */
    private static final double QUIET_SHARE = 0.35;

    /** At most this share of all processes is killed for good. */
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

    /** The faults, in the order of their times. */
    public static List<InjectedFault> draw(FaultInjectionPlan plan, Set<Kind> kinds, long seed) {
        RandomFaultSchedule schedule = new RandomFaultSchedule(plan, kinds, seed);
        List<InjectedFault> out = new ArrayList<>();
        double until = plan.lasts() * (1 - QUIET_SHARE);
        double at = schedule.random.nextExponential() * MEAN_INTERVAL_MS;
        while (at < until && !schedule.kinds.isEmpty()) {
            out.add(schedule.fault(at, until));
            at += schedule.random.nextExponential() * MEAN_INTERVAL_MS;
        }
        out.sort(Comparator.comparingDouble(InjectedFault::startMs));
        return List.copyOf(out);
    }

    private InjectedFault fault(double at, double until) {
        double duration = Math.min(
                MIN_DURATION_MS + random.nextDouble() * (MAX_DURATION_MS - MIN_DURATION_MS),
                Math.max(MIN_DURATION_MS, until - at));
        return switch (kinds.get(random.nextInt(kinds.size()))) {
            case LINKS -> datagramFault(at, duration);
            case PAUSES -> pause(at, duration);
            case KILLS -> kill(at);
            case HOSTS -> connectionFault(at, duration);
        };
    }

    private InjectedFault pause(double at, double duration) {
        boolean starve = random.nextBoolean();
        InjectedFault.Kind kind = starve ? InjectedFault.Kind.STARVE : InjectedFault.Kind.STOP;
        ProcessPattern process = anyProcess();
        double share = starve ? 0.5 + 0.4 * random.nextDouble() : 0;
        return new InjectedFault(at, kind, process, ALL, HostPattern.NONE, false, duration, share, 0);
    }

    private InjectedFault kill(double at) {
        boolean permanent = killed + 1 <= MAX_KILLED_SHARE * plan.processes() && random.nextInt(3) == 0;
        killed += permanent ? 1 : 0;
        // Those that end for good are counted from the end, so that none of them is stopped or started again.
        ProcessPattern process = permanent ? new ProcessPattern("m" + (plan.processes() - killed)) : anyProcess();
        InjectedFault.Kind kind = permanent ? InjectedFault.Kind.KILL : InjectedFault.Kind.RESTART;
        return new InjectedFault(at, kind, process, process, HostPattern.NONE, false, 0, 0, 0);
    }

    private InjectedFault connectionFault(double at, double duration) {
        var hosts = plan.hosts().hosts();
        HostPattern target = new HostPattern(
                random.nextInt(5) == 0
                        ? HostPattern.DISCOVERY
                        : hosts.get(random.nextInt(hosts.size())).id());
        InjectedFault.Kind kind = CONNECTION_FAULTS.get(random.nextInt(CONNECTION_FAULTS.size()));
        ProcessPattern processes = anyGroup();
        double delay = 20 + random.nextInt(200);
        return new InjectedFault(at, kind, processes, ALL, target, false, duration, 0, delay);
    }

    private InjectedFault datagramFault(double at, double duration) {
        ProcessPattern on = anyGroup();
        return switch (random.nextInt(4)) {
            case 0 -> {
                double share = random.nextDouble();
                yield datagramFault(at, InjectedFault.Kind.DOUBLE, on, false, duration, share, 0);
            }
            case 1 -> {
                double delay = 5 + random.nextInt(60);
                yield datagramFault(at, InjectedFault.Kind.DELAY, on, false, duration, 0, delay);
            }
            case 2 -> {
                double share = 0.3 * random.nextDouble();
                yield datagramFault(at, InjectedFault.Kind.LOSE, on, false, duration, share, 0);
            }
            default -> {
                boolean oneWay = random.nextBoolean();
                yield datagramFault(at, InjectedFault.Kind.LOSE, on, oneWay, duration, 1, 0);
            }
        };
    }

    private static InjectedFault datagramFault(
            double at,
            InjectedFault.Kind kind,
            ProcessPattern on,
            boolean oneWay,
            double duration,
            double share,
            double delay) {
        return new InjectedFault(at, kind, on, ALL, HostPattern.NONE, oneWay, duration, share, delay);
    }

    /** One that is not among those that may end for good. */
    private ProcessPattern anyProcess() {
        return new ProcessPattern("m" + random.nextInt(Math.max(1, (int) (plan.processes() * (1 - MAX_KILLED_SHARE)))));
    }

    private ProcessPattern anyGroup() {
        return plan.zones() > 1 && random.nextBoolean()
                ? new ProcessPattern("zone:" + random.nextInt(plan.zones()))
                : anyProcess();
    }
}
