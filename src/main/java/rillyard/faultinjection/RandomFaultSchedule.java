package rillyard.faultinjection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Draws a timetable of faults from a seed; the same seed, plan and kinds give the same. */
public final class RandomFaultSchedule {
    /** What it may do. */
    public enum Kind {
        /** Datagrams lost, doubled, late; zones cut off, one way or both. */
        LINKS,
        /** Processes stopped, or starved of their core. */
        PAUSES,
        /** Processes killed and started again, or killed for good. */
        KILLS,
        /** Connections to hosts silent, reset, slow, refused. */
        HOSTS
    }

    /** Between the ends of two faults (ms, in the mean), which may overlap. */
    private static final double EVERY_MS = 4_000;

    private static final double SHORTEST_MS = 500;
    private static final double LONGEST_MS = 8_000;

    /** At the end all is quiet for this share of the time, so that it shows whether all agree again. */
    private static final double QUIET = 0.35;

    /** At most this share of all processes is killed for good. */
    private static final double LOST = 0.25;

    private final FaultInjectionPlan plan;
    private final SplittableRandom random;
    private final List<Kind> kinds;
    private int lost;

    private RandomFaultSchedule(FaultInjectionPlan plan, Set<Kind> kinds, long seed) {
        this.plan = plan;
        this.random = new SplittableRandom(seed);
        this.kinds = kinds.stream().sorted().toList();
    }

    /** The faults, in the order of their times. */
    public static List<InjectedFault> draw(FaultInjectionPlan plan, Set<Kind> kinds, long seed) {
        RandomFaultSchedule schedule = new RandomFaultSchedule(plan, kinds, seed);
        List<InjectedFault> out = new ArrayList<>();
        double until = plan.lasts() * (1 - QUIET);
        double at = schedule.random.nextExponential() * EVERY_MS;
        while (at < until && !schedule.kinds.isEmpty()) {
            out.add(schedule.fault(at, until));
            at += schedule.random.nextExponential() * EVERY_MS;
        }
        out.sort(Comparator.comparingDouble(InjectedFault::at));
        return List.copyOf(out);
    }

    private InjectedFault fault(double at, double until) {
        double lasts = Math.min(
                SHORTEST_MS + random.nextDouble() * (LONGEST_MS - SHORTEST_MS), Math.max(SHORTEST_MS, until - at));
        return switch (kinds.get(random.nextInt(kinds.size()))) {
            case LINKS -> link(at, lasts);
            case PAUSES -> {
                boolean starve = random.nextBoolean();
                yield new InjectedFault(
                        at,
                        starve ? InjectedFault.Kind.STARVE : InjectedFault.Kind.STOP,
                        one(),
                        new ProcessPattern("all"),
                        HostPattern.NONE,
                        false,
                        lasts,
                        starve ? 0.5 + 0.4 * random.nextDouble() : 0,
                        0);
            }
            case KILLS -> {
                boolean forGood = lost + 1 <= LOST * plan.processes() && random.nextInt(3) == 0;
                lost += forGood ? 1 : 0;
                // Those that end for good are counted from the end, so that none of them is stopped or started again.
                ProcessPattern who = forGood ? new ProcessPattern("m" + (plan.processes() - lost)) : one();
                yield new InjectedFault(
                        at,
                        forGood ? InjectedFault.Kind.KILL : InjectedFault.Kind.RESTART,
                        who,
                        who,
                        HostPattern.NONE,
                        false,
                        0,
                        0,
                        0);
            }
            case HOSTS -> {
                InjectedFault.Kind[] how = {
                    InjectedFault.Kind.SILENT,
                    InjectedFault.Kind.RESET,
                    InjectedFault.Kind.SLOW,
                    InjectedFault.Kind.REFUSED
                };
                var hosts = plan.hosts().hosts();
                HostPattern which = new HostPattern(
                        random.nextInt(5) == 0
                                ? HostPattern.DISCOVERY
                                : hosts.get(random.nextInt(hosts.size())).id());
                yield new InjectedFault(
                        at,
                        how[random.nextInt(how.length)],
                        some(),
                        new ProcessPattern("all"),
                        which,
                        false,
                        lasts,
                        0,
                        20 + random.nextInt(200));
            }
        };
    }

    private InjectedFault link(double at, double lasts) {
        ProcessPattern on = some();
        return switch (random.nextInt(4)) {
            case 0 ->
                new InjectedFault(
                        at,
                        InjectedFault.Kind.DOUBLE,
                        on,
                        new ProcessPattern("all"),
                        HostPattern.NONE,
                        false,
                        lasts,
                        random.nextDouble(),
                        0);
            case 1 ->
                new InjectedFault(
                        at,
                        InjectedFault.Kind.DELAY,
                        on,
                        new ProcessPattern("all"),
                        HostPattern.NONE,
                        false,
                        lasts,
                        0,
                        5 + random.nextInt(60));
            case 2 ->
                new InjectedFault(
                        at,
                        InjectedFault.Kind.LOSE,
                        on,
                        new ProcessPattern("all"),
                        HostPattern.NONE,
                        false,
                        lasts,
                        0.3 * random.nextDouble(),
                        0);
            default ->
                new InjectedFault(
                        at,
                        InjectedFault.Kind.LOSE,
                        on,
                        new ProcessPattern("all"),
                        HostPattern.NONE,
                        random.nextBoolean(),
                        lasts,
                        1,
                        0);
        };
    }

    /** One that is not among those that may end for good. */
    private ProcessPattern one() {
        return new ProcessPattern("m" + random.nextInt(Math.max(1, (int) (plan.processes() * (1 - LOST)))));
    }

    private ProcessPattern some() {
        return plan.zones() > 1 && random.nextBoolean()
                ? new ProcessPattern("zone:" + random.nextInt(plan.zones()))
                : one();
    }
}
