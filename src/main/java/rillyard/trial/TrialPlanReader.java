package rillyard.trial;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import rillyard.input.InvalidFileException;
import rillyard.input.TomlTable;
import rillyard.load.LoadClass;
import rillyard.load.LoadPlan;
import rillyard.load.LoadPlanReader;
import rillyard.standin.ClassSpec;
import rillyard.standin.StandInPlan;
import rillyard.standin.StandInPlanReader;

/** Reads the plan of a trial. */
public final class TrialPlanReader {
    private static final int MOST = 1_000;
    private static final int HOSTS = 4;

    private TrialPlanReader() {}

    /**
     * Reads a file.
     *
     * @throws InvalidFileException with all findings, by line
     */
    public static TrialPlan read(Path file) throws InvalidFileException {
        return read(TomlTable.read(file), file.toAbsolutePath().getParent());
    }

    /** Reads a text; {@code name} stands for it in findings, files that it names are looked up in {@code in}. */
    public static TrialPlan parse(String name, String text, Path in) throws InvalidFileException {
        return read(TomlTable.parse(name, text), in);
    }

    private static TrialPlan read(TomlTable root, Path beside) throws InvalidFileException {
        long seed = root.whole("seed", 1, 0, Long.MAX_VALUE);
        int processes = (int) root.whole("processes", 12, 2, MOST);
        int zones = (int) root.whole("zones", 1, 1, 200);
        int regions = (int) root.whole("regions", 1, 1, 200);
        String hosts = root.text("hosts", null);
        String load = root.text("load", null);
        LoadPlan asked = load == null ? null : LoadPlanReader.read(beside.resolve(load));
        double lasts = 1_000 * root.number("for_s", asked == null ? 30 : asked.seconds(), 1, 3_600);
        TomlTable m = root.table("membership");
        String membership = String.format(
                Locale.ROOT,
                "interval_ms = %s%ntimeout_ms = %s%n",
                m.number("interval_ms", 500, 100, 60_000),
                m.number("timeout_ms", 150, 10, 30_000));
        boolean news = root.flag("news", false);
        List<Fault> faults = new ArrayList<>();
        for (TomlTable t : root.tables("fault")) {
            faults.add(fault(t, lasts));
        }
        List<TrialPlan.Clock> clocks = new ArrayList<>();
        for (TomlTable t : root.tables("clock")) {
            clocks.add(new TrialPlan.Clock(group(t, "on"), t.number("rate", 1, 0.01, 100)));
        }
        StandInPlan served =
                hosts == null ? StandInPlanReader.standard(HOSTS) : StandInPlanReader.read(beside.resolve(hosts), 0);
        if (asked != null) {
            checkClasses(root, served, asked);
        }
        root.finish();
        faults.sort(Comparator.comparingDouble(Fault::at));
        return new TrialPlan(seed, processes, zones, regions, lasts, membership, news, served, asked, clocks, faults);
    }

    /** What clients ask for has to be what hosts serve: a proxy turns all else away, and nothing would be shown. */
    private static void checkClasses(TomlTable root, StandInPlan hosts, LoadPlan load) {
        Map<String, ClassSpec.Semantics> served = new HashMap<>();
        hosts.classes().forEach(c -> served.put(c.name(), c.semantics()));
        for (LoadClass c : load.classes()) {
            ClassSpec.Semantics asked =
                    switch (c.semantics()) {
                        case IDEMPOTENT -> ClassSpec.Semantics.IDEMPOTENT;
                        case KEYED, KEYED_EVERYWHERE -> ClassSpec.Semantics.DEDUPLICATED;
                        case AT_MOST_ONCE -> ClassSpec.Semantics.AT_MOST_ONCE;
                    };
            if (served.get(c.name()) != asked) {
                root.error(
                        "load",
                        "asks for class '" + c.name() + "', " + asked + "; expected one of the hosts': "
                                + new TreeMap<>(served));
            }
        }
    }

    private static Fault fault(TomlTable t, double lasts) {
        Fault.Kind kind = t.choice("kind", Fault.Kind.class, Fault.Kind.KILL);
        double at = 1_000 * t.number("at_s", 0, 0, lasts / 1_000);
        Fault.Place place = kind.place;
        Group on = group(t, "on");
        Group to = place == Fault.Place.DATAGRAMS ? group(t, "to") : on;
        HostGroup hosts = place == Fault.Place.CONNECTIONS ? new HostGroup(t.text("hosts", "all")) : HostGroup.NONE;
        double forMs = kind.lasting() ? 1_000 * t.number("for_s", 5, 0.05, 3_600) : 0;
        double share =
                switch (kind) {
                    case LOSE, DOUBLE -> t.number("share", 1, 0, 1);
                    case STARVE -> t.number("share", 0.9, 0.1, 0.99);
                    default -> 0;
                };
        double late = kind == Fault.Kind.DELAY || kind == Fault.Kind.SLOW ? t.number("late_ms", 50, 0, 60_000) : 0;
        boolean oneWay = place == Fault.Place.DATAGRAMS && t.flag("one_way", false);
        return new Fault(at, kind, on, to, hosts, oneWay, forMs, share, late);
    }

    private static Group group(TomlTable t, String key) {
        try {
            return new Group(t.text(key, "all"));
        } catch (IllegalArgumentException e) {
            t.error(key, e.getMessage());
            return new Group("all");
        }
    }
}
