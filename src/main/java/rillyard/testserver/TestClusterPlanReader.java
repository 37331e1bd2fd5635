package rillyard.testserver;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import rillyard.config.InvalidConfigException;
import rillyard.config.RequestClassKeys;
import rillyard.config.TomlTable;

/** Reads a test cluster's plan from TOML: hosts, classes, rules and the fault schedule. Missing keys have defaults. */
public final class TestClusterPlanReader {
    private static final HostSpec DEFAULT_HOST =
            new HostSpec("", "z1", "std", 0, 4, 1, 64, 1_000, 0, 0, 60_000, 8_000, 0.3, false);

    private static final int DEFAULT_HOST_COUNT = 8;
    private static final int DEFAULT_CELL_SIZE = 4;

    /** Names of service time distributions in the file. */
    private enum Distribution {
        CONSTANT,
        EXPONENTIAL,
        LOGNORMAL,
        TABLE
    }

    private TestClusterPlanReader() {}

    /** Returns the default plan: the given number of hosts in cells of four, three classes and no faults. */
    public static TestClusterPlan standard(int hosts) {
        try {
            return read(TomlTable.parse("standard", ""), hosts);
        } catch (InvalidConfigException e) {
            throw new IllegalStateException(e); // unreachable: the text is empty
        }
    }

    /**
     * Reads a plan from a file.
     *
     * @param hosts number of hosts if the file does not list them; 0 to take it from the file
     * @throws InvalidConfigException with all problems found
     */
    public static TestClusterPlan read(Path file, int hosts) throws InvalidConfigException {
        return read(TomlTable.read(file), hosts);
    }

    /**
     * Reads a plan from text.
     *
     * @param name name of the text in error messages
     * @param hosts number of hosts if the text does not list them; 0 to take it from the text
     * @throws InvalidConfigException with all problems found
     */
    public static TestClusterPlan parse(String name, String text, int hosts) throws InvalidConfigException {
        return read(TomlTable.parse(name, text), hosts);
    }

    /**
     * Reads {@code [[fault]]} tables alone. The caller checks that their hosts exist.
     *
     * @throws InvalidConfigException with all problems found
     */
    static List<HostFault> faults(String name, String text) throws InvalidConfigException {
        TomlTable root = TomlTable.parse(name, text);
        List<HostFault> faults = faults(root, null);
        root.finish();
        return faults;
    }

    private static TestClusterPlan read(TomlTable root, int count) throws InvalidConfigException {
        long seed = root.integer("seed", 1, 0, Long.MAX_VALUE);
        List<HostSpec> hosts = hosts(root, count);
        List<RequestClassSpec> classes = classes(root);
        TomlTable discovery = root.table("discovery");
        double discoveryDelayMillis = discovery.number("notice_ms", 100, 0, 60_000);
        TomlTable report = root.table("report");
        List<String> fields = reportFields(report);
        double reportPeriodMillis = report.number("period_ms", 100, 0, 60_000);
        TomlTable table = root.table("rules");
        TestClusterPlan.Rules rules = new TestClusterPlan.Rules(
                table.number("drain_grace_ms", 500, 0, 60_000),
                table.number("fall_ms", 1_500, 1, 60_000),
                table.number("fall_multiple", 3, 1, 100),
                table.number("connect_timeout_ms", 200, 1, 60_000),
                (int) table.integer("max_attempts", 6, 1, 100));
        Set<String> ids = new HashSet<>();
        hosts.forEach(host -> ids.add(host.id()));
        List<HostFault> faults = faults(root, ids);
        root.finish();
        return new TestClusterPlan(
                seed, hosts, classes, fields, reportPeriodMillis, discoveryDelayMillis, rules, faults);
    }

    private static List<String> reportFields(TomlTable report) {
        String text = report.text("fields", "inflight,util");
        if (text.equals("none")) {
            return List.of();
        }
        List<String> fields = new ArrayList<>();
        for (String field : text.split(",")) {
            if (!Set.of("inflight", "queue", "util").contains(field.trim())) {
                report.error("fields", "found '" + field.trim() + "', expected inflight, queue, util or none");
            }
            fields.add(field.trim());
        }
        return fields;
    }

    private static List<HostSpec> hosts(TomlTable root, int count) {
        TomlTable common = root.table("hosts");
        int number = (int) common.integer("count", DEFAULT_HOST_COUNT, 1, 10_000);
        number = count > 0 ? count : number;
        int cellSize = (int) common.integer("cell_size", DEFAULT_CELL_SIZE, 1, 10_000);
        HostSpec defaults = host(common, DEFAULT_HOST);
        List<HostSpec> out = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        List<TomlTable> hostTables = root.tables("host");
        for (int i = 0; i < hostTables.size(); i++) {
            TomlTable table = hostTables.get(i);
            String id = table.text("id");
            if (!id.matches("[A-Za-z0-9._-]{1,64}")) {
                table.error("id", "found '" + id + "', expected 1 to 64 letters, digits, dots, - or _");
            } else if (!ids.add(id)) {
                table.error("id", "found '" + id + "', expected an id that no other host has");
            }
            HostSpec hostSpec = host(table, defaults.withId(id));
            long cellNumber = table.integer("cell", i / cellSize, 0, Integer.MAX_VALUE);
            out.add(withCell(hostSpec, cellNumber));
        }
        for (int i = 0; hostTables.isEmpty() && i < number; i++) {
            out.add(withCell(defaults.withId("s-" + i), i / cellSize));
        }
        return out;
    }

    private static HostSpec withCell(HostSpec host, long cell) {
        return new HostSpec(
                host.id(),
                host.zone(),
                host.kind(),
                cell,
                host.cores(),
                host.speed(),
                host.queue(),
                host.connections(),
                host.handshakeMillis(),
                host.handshakeWorkMillis(),
                host.idleMillis(),
                host.warmUpMillis(),
                host.initialCapacityShare(),
                host.startsWarmingUp());
    }

    private static HostSpec host(TomlTable table, HostSpec host) {
        return new HostSpec(
                host.id(),
                table.text("zone", host.zone()),
                table.text("kind", host.kind()),
                host.cell(),
                (int) table.integer("cores", host.cores(), 1, 100_000),
                table.number("speed", host.speed(), 0.001, 1_000),
                (int) table.integer("queue", host.queue(), 0, 1_000_000),
                (int) table.integer("connections", host.connections(), 1, 1_000_000),
                table.number("handshake_ms", host.handshakeMillis(), 0, 60_000),
                table.number("handshake_work_ms", host.handshakeWorkMillis(), 0, 60_000),
                table.number("idle_ms", host.idleMillis(), 1, 3_600_000),
                table.number("cold_ms", host.warmUpMillis(), 0, 3_600_000),
                table.number("start_share", host.initialCapacityShare(), 0.01, 1),
                table.flag("starts_cold", host.startsWarmingUp()));
    }

    private static List<RequestClassSpec> classes(TomlTable root) {
        List<RequestClassSpec> out = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlTable table : root.tables("class")) {
            RequestClassKeys keys = RequestClassKeys.read(table, names);
            out.add(new RequestClassSpec(
                    keys.name(),
                    table.choice(
                            "semantics", RequestClassSpec.Semantics.class, RequestClassSpec.Semantics.AT_MOST_ONCE),
                    table.choice("scope", RequestClassSpec.Scope.class, RequestClassSpec.Scope.CELL),
                    keys.latencyObjectiveMs(),
                    keys.deadlineMs(),
                    table.number("window_ms", 750, 0, 3_600_000),
                    table.number("worth", 1, 0, 1e9),
                    serviceTime(table.table("work")),
                    (int) table.integer("answer_bytes", 256, 0, 65_536)));
        }
        return out.isEmpty() ? standardClasses() : out;
    }

    private static List<RequestClassSpec> standardClasses() {
        ServiceTime work = new ServiceTime.Lognormal(12, 0.6);
        return List.of(
                new RequestClassSpec(
                        "list",
                        RequestClassSpec.Semantics.IDEMPOTENT,
                        RequestClassSpec.Scope.ALL,
                        400,
                        800,
                        0,
                        1,
                        work,
                        1_024),
                new RequestClassSpec(
                        "log",
                        RequestClassSpec.Semantics.DEDUPLICATED,
                        RequestClassSpec.Scope.CELL,
                        400,
                        1_200,
                        750,
                        5,
                        work,
                        128),
                new RequestClassSpec(
                        "claim",
                        RequestClassSpec.Semantics.AT_MOST_ONCE,
                        RequestClassSpec.Scope.ALL,
                        400,
                        800,
                        0,
                        8,
                        work,
                        128));
    }

    private static ServiceTime serviceTime(TomlTable section) {
        Distribution distribution = section.choice("dist", Distribution.class, Distribution.LOGNORMAL);
        double meanMillis = section.number("mean_ms", 12, 0.001, 60_000);
        double coefficientOfVariation = section.number("cv", 0.6, 0.01, 10);
        double[] table = section.numbers("table_ms", new double[] {10, 10}, 0, 60_000);
        if (distribution == Distribution.TABLE && (!section.has("table_ms") || table.length < 2)) {
            section.error(
                    "table_ms",
                    "is missing or has only one value, expected at least two service times in ms for dist = 'table'");
        }
        return switch (distribution) {
            case CONSTANT -> new ServiceTime.Constant(meanMillis);
            case EXPONENTIAL -> new ServiceTime.Exponential(meanMillis);
            case LOGNORMAL -> new ServiceTime.Lognormal(meanMillis, coefficientOfVariation);
            case TABLE -> new ServiceTime.Empirical(table);
        };
    }

    private static List<HostFault> faults(TomlTable root, Set<String> ids) {
        List<HostFault> out = new ArrayList<>();
        for (TomlTable table : root.tables("fault")) {
            HostFault.Kind kind = table.choice("kind", HostFault.Kind.class, HostFault.Kind.HANG);
            if (!table.has("kind")) {
                table.error("kind", "is missing, expected a kind of fault");
            }
            String host = kind.isDiscoveryFault() ? "" : table.text("host");
            if (!host.isEmpty() && ids != null && !ids.contains(host)) {
                table.error("host", "there is no host '" + host + "'");
            }
            boolean slow = kind == HostFault.Kind.SLOW;
            double durationMillis = 1_000 * table.number("for_s", 0, 0, 86_400);
            if (kind == HostFault.Kind.PAUSE && durationMillis == 0) {
                table.error(
                        "for_s", "is missing, 0 or invalid, expected the duration of the pause in seconds, above 0");
            }
            out.add(new HostFault(
                    1_000 * table.number("at_s", 0, 0, 86_400),
                    durationMillis,
                    kind,
                    host,
                    slow ? table.number("size", 4, 1, 1_000) : table.number("size", 1, 0, 1),
                    1_000 * table.number("restart_s", -0.001, -0.001, 86_400),
                    table.flag("new_id", false)));
        }
        out.sort(Comparator.comparingDouble(HostFault::startMillis));
        return out;
    }
}
