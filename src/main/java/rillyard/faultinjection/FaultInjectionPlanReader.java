package rillyard.faultinjection;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import rillyard.config.InvalidConfigException;
import rillyard.config.TomlTable;
import rillyard.loadgen.LoadClass;
import rillyard.loadgen.LoadPlan;
import rillyard.loadgen.LoadPlanReader;
import rillyard.testserver.RequestClassSpec;
import rillyard.testserver.TestClusterPlan;
import rillyard.testserver.TestClusterPlanReader;

/** Reads the plan of a fault-injection run from TOML. */
public final class FaultInjectionPlanReader {
    private static final int MAX_PROCESSES = 1_000;
    private static final int DEFAULT_HOSTS = 4;

    private FaultInjectionPlanReader() {}

    /**
     * Reads a plan file; files that it names are resolved against its folder.
     *
     * @throws InvalidConfigException with all problems, in the order of their lines
     */
    public static FaultInjectionPlan read(Path file) throws InvalidConfigException {
        return read(TomlTable.read(file), file.toAbsolutePath().getParent());
    }

    /**
     * Parses a plan.
     *
     * @param name name of the text in error messages
     * @param folder folder against which files that the plan names are resolved
     * @throws InvalidConfigException with all problems, in the order of their lines
     */
    public static FaultInjectionPlan parse(String name, String text, Path folder) throws InvalidConfigException {
        return read(TomlTable.parse(name, text), folder);
    }

    private static FaultInjectionPlan read(TomlTable root, Path folder) throws InvalidConfigException {
        long seed = root.integer("seed", 1, 0, Long.MAX_VALUE);
        int processes = (int) root.integer("processes", 12, 2, MAX_PROCESSES);
        int zones = (int) root.integer("zones", 1, 1, 200);
        int regions = (int) root.integer("regions", 1, 1, 200);
        String hostsFile = root.text("hosts", null);
        String loadFile = root.text("load", null);
        LoadPlan loadPlan = loadFile == null ? null : LoadPlanReader.read(folder.resolve(loadFile));
        double durationMs = 1_000 * root.number("for_s", loadPlan == null ? 30 : loadPlan.seconds(), 1, 3_600);
        TomlTable table = root.table("membership");
        String membership = String.format(
                Locale.ROOT,
                "interval_ms = %s%ntimeout_ms = %s%n",
                table.number("interval_ms", 500, 100, 60_000),
                table.number("timeout_ms", 150, 10, 30_000));
        boolean gossip = root.flag("news", false);
        List<InjectedFault> faults = new ArrayList<>();
        for (TomlTable faultTable : root.tables("fault")) {
            faults.add(fault(faultTable, durationMs));
        }
        List<FaultInjectionPlan.Clock> clocks = new ArrayList<>();
        for (TomlTable clockTable : root.tables("clock")) {
            clocks.add(new FaultInjectionPlan.Clock(
                    processPattern(clockTable, "on"), clockTable.number("rate", 1, 0.01, 100)));
        }
        TestClusterPlan hostPlan = hostsFile == null
                ? TestClusterPlanReader.standard(DEFAULT_HOSTS)
                : TestClusterPlanReader.read(folder.resolve(hostsFile), 0);
        if (loadPlan != null) {
            checkClasses(root, hostPlan, loadPlan);
        }
        root.finish();
        faults.sort(Comparator.comparingDouble(InjectedFault::startMs));
        return new FaultInjectionPlan(
                seed, processes, zones, regions, durationMs, membership, gossip, hostPlan, loadPlan, clocks, faults);
    }

    /** Checks that the hosts serve the classes of the load: a proxy would reject all others, and prove nothing. */
    private static void checkClasses(TomlTable root, TestClusterPlan hosts, LoadPlan load) {
        Map<String, RequestClassSpec.Semantics> served = new HashMap<>();
        hosts.classes().forEach(spec -> served.put(spec.name(), spec.semantics()));
        for (LoadClass requestClass : load.classes()) {
            RequestClassSpec.Semantics expected =
                    switch (requestClass.semantics()) {
                        case IDEMPOTENT -> RequestClassSpec.Semantics.IDEMPOTENT;
                        case KEYED, KEYED_EVERYWHERE -> RequestClassSpec.Semantics.DEDUPLICATED;
                        case AT_MOST_ONCE -> RequestClassSpec.Semantics.AT_MOST_ONCE;
                    };
            if (served.get(requestClass.name()) != expected) {
                root.error(
                        "load",
                        "asks for class '" + requestClass.name() + "', " + expected + "; expected one of the hosts': "
                                + new TreeMap<>(served));
            }
        }
    }

    private static InjectedFault fault(TomlTable table, double scheduleMs) {
        InjectedFault.Kind kind = table.choice("kind", InjectedFault.Kind.class, InjectedFault.Kind.KILL);
        double startMs = 1_000 * table.number("at_s", 0, 0, scheduleMs / 1_000);
        InjectedFault.Target target = kind.target;
        ProcessPattern sources = processPattern(table, "on");
        ProcessPattern destinations = target == InjectedFault.Target.DATAGRAMS ? processPattern(table, "to") : sources;
        HostPattern hosts = target == InjectedFault.Target.CONNECTIONS
                ? new HostPattern(table.text("hosts", "all"))
                : HostPattern.NONE;
        double durationMs = kind.isLasting() ? 1_000 * table.number("for_s", 5, 0.05, 3_600) : 0;
        double share =
                switch (kind) {
                    case LOSE, DOUBLE -> table.number("share", 1, 0, 1);
                    case STARVE -> table.number("share", 0.9, 0.1, 0.99);
                    default -> 0;
                };
        double delayMs = kind == InjectedFault.Kind.DELAY || kind == InjectedFault.Kind.SLOW
                ? table.number("late_ms", 50, 0, 60_000)
                : 0;
        boolean oneWay = target == InjectedFault.Target.DATAGRAMS && table.flag("one_way", false);
        return new InjectedFault(startMs, kind, sources, destinations, hosts, oneWay, durationMs, share, delayMs);
    }

    private static ProcessPattern processPattern(TomlTable table, String key) {
        try {
            return new ProcessPattern(table.text(key, "all"));
        } catch (IllegalArgumentException e) {
            table.error(key, e.getMessage());
            return new ProcessPattern("all");
        }
    }
}
