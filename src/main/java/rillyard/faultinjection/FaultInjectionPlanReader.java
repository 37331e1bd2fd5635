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

/** Reads the plan of a fault-injection run. */
public final class FaultInjectionPlanReader {
    private static final int MOST = 1_000;
    private static final int HOSTS = 4;

    private FaultInjectionPlanReader() {}

    /**
     * Reads a file.
     *
     * @throws InvalidConfigException with all findings, by line
     */
    public static FaultInjectionPlan read(Path file) throws InvalidConfigException {
        return read(TomlTable.read(file), file.toAbsolutePath().getParent());
    }

    /** Reads a text; {@code name} stands for it in findings, files that it names are looked up in {@code in}. */
    public static FaultInjectionPlan parse(String name, String text, Path in) throws InvalidConfigException {
        return read(TomlTable.parse(name, text), in);
    }

    private static FaultInjectionPlan read(TomlTable root, Path beside) throws InvalidConfigException {
        long seed = root.integer("seed", 1, 0, Long.MAX_VALUE);
        int processes = (int) root.integer("processes", 12, 2, MOST);
        int zones = (int) root.integer("zones", 1, 1, 200);
        int regions = (int) root.integer("regions", 1, 1, 200);
        String hosts = root.text("hosts", null);
        String load = root.text("load", null);
        LoadPlan asked = load == null ? null : LoadPlanReader.read(beside.resolve(load));
        double lasts = 1_000 * root.number("for_s", asked == null ? 30 : asked.seconds(), 1, 3_600);
        TomlTable table = root.table("membership");
        String membership = String.format(
                Locale.ROOT,
                "interval_ms = %s%ntimeout_ms = %s%n",
                table.number("interval_ms", 500, 100, 60_000),
                table.number("timeout_ms", 150, 10, 30_000));
        boolean news = root.flag("news", false);
        List<InjectedFault> faults = new ArrayList<>();
        for (TomlTable tomlTable : root.tables("fault")) {
            faults.add(fault(tomlTable, lasts));
        }
        List<FaultInjectionPlan.Clock> clocks = new ArrayList<>();
        for (TomlTable t : root.tables("clock")) {
            clocks.add(new FaultInjectionPlan.Clock(group(t, "on"), t.number("rate", 1, 0.01, 100)));
        }
        TestClusterPlan served = hosts == null
                ? TestClusterPlanReader.standard(HOSTS)
                : TestClusterPlanReader.read(beside.resolve(hosts), 0);
        if (asked != null) {
            checkClasses(root, served, asked);
        }
        root.finish();
        faults.sort(Comparator.comparingDouble(InjectedFault::startMs));
        return new FaultInjectionPlan(
                seed, processes, zones, regions, lasts, membership, news, served, asked, clocks, faults);
    }

    /** What clients ask for has to be what hosts serve: a proxy turns all else away, and nothing would be shown. */
    private static void checkClasses(TomlTable root, TestClusterPlan hosts, LoadPlan load) {
        Map<String, RequestClassSpec.Semantics> served = new HashMap<>();
        hosts.classes().forEach(spec -> served.put(spec.name(), spec.semantics()));
        for (LoadClass requestClass : load.classes()) {
            RequestClassSpec.Semantics asked =
                    switch (requestClass.semantics()) {
                        case IDEMPOTENT -> RequestClassSpec.Semantics.IDEMPOTENT;
                        case KEYED, KEYED_EVERYWHERE -> RequestClassSpec.Semantics.DEDUPLICATED;
                        case AT_MOST_ONCE -> RequestClassSpec.Semantics.AT_MOST_ONCE;
                    };
            if (served.get(requestClass.name()) != asked) {
                root.error(
                        "load",
                        "asks for class '" + requestClass.name() + "', " + asked + "; expected one of the hosts': "
                                + new TreeMap<>(served));
            }
        }
    }

    private static InjectedFault fault(TomlTable table, double lasts) {
        InjectedFault.Kind kind = table.choice("kind", InjectedFault.Kind.class, InjectedFault.Kind.KILL);
        double at = 1_000 * table.number("at_s", 0, 0, lasts / 1_000);
        InjectedFault.Place place = kind.target;
        ProcessPattern on = group(table, "on");
        ProcessPattern to = place == InjectedFault.Place.DATAGRAMS ? group(table, "to") : on;
        HostPattern hosts = place == InjectedFault.Place.CONNECTIONS
                ? new HostPattern(table.text("hosts", "all"))
                : HostPattern.NONE;
        double forMs = kind.lasting() ? 1_000 * table.number("for_s", 5, 0.05, 3_600) : 0;
        double share =
                switch (kind) {
                    case LOSE, DOUBLE -> table.number("share", 1, 0, 1);
                    case STARVE -> table.number("share", 0.9, 0.1, 0.99);
                    default -> 0;
                };
        double late = kind == InjectedFault.Kind.DELAY || kind == InjectedFault.Kind.SLOW
                ? table.number("late_ms", 50, 0, 60_000)
                : 0;
        boolean oneWay = place == InjectedFault.Place.DATAGRAMS && table.flag("one_way", false);
        return new InjectedFault(at, kind, on, to, hosts, oneWay, forMs, share, late);
    }

    private static ProcessPattern group(TomlTable table, String key) {
        try {
            return new ProcessPattern(table.text(key, "all"));
        } catch (IllegalArgumentException e) {
            table.error(key, e.getMessage());
            return new ProcessPattern("all");
        }
    }
}
