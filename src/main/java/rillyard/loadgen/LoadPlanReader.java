package rillyard.loadgen;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import rillyard.config.InvalidConfigException;
import rillyard.config.RequestClassKeys;
import rillyard.config.TomlTable;

/** Reads a load plan from TOML. Missing keys have defaults; errors name their lines. */
public final class LoadPlanReader {
    /** Names of rate profiles in the file. */
    private enum ProfileKind {
        STEADY,
        POISSON,
        RAMP,
        SURGE,
        WAVE,
        STEP
    }

    private static final double MAX_RATE = 1e6;
    private static final double MAX_SECONDS = 7 * 86_400;

    private LoadPlanReader() {}

    /**
     * Reads a plan from a file. The path of a trace is resolved against the file's folder.
     *
     * @throws InvalidConfigException with all problems found
     */
    public static LoadPlan read(Path file) throws InvalidConfigException {
        Path directory = file.toAbsolutePath().getParent();
        return read(TomlTable.read(file), directory);
    }

    /**
     * Reads a plan from text.
     *
     * @param name name of the text in error messages
     * @param directory folder that the path of a trace is resolved against
     * @throws InvalidConfigException with all problems found
     */
    public static LoadPlan parse(String name, String text, Path directory) throws InvalidConfigException {
        return read(TomlTable.parse(name, text), directory);
    }

    private static LoadPlan read(TomlTable root, Path directory) throws InvalidConfigException {
        long seed = root.integer("seed", 1, 0, Long.MAX_VALUE);
        int maxOpen = (int) root.integer("max_open", 20_000, 1, 1_000_000);
        double maxLatenessMillis = root.number("lateness_ms", 5, 0.01, 60_000);
        boolean verify = root.flag("verify", true);
        List<LoadClass> classes = classes(root);
        List<LoadPlan.Tenant> tenants = tenants(root);
        ClientSpec clients = clients(root.table("clients"));
        List<RateProfile> profiles = new ArrayList<>();
        for (TomlTable table : root.tables("shape")) {
            profiles.add(profile(table));
        }
        boolean traced = root.has("trace");
        if (traced == !profiles.isEmpty()) {
            root.error(
                    traced ? "trace" : "shape",
                    traced
                            ? "found together with [[shape]], expected only one of the two"
                            : "expected at least one [[shape]], or a [trace]");
        }
        TomlTable traceTable = root.table("trace");
        String file = traced ? traceTable.text("file") : "";
        TraceReader.Format format = traceTable.choice("form", TraceReader.Format.class, TraceReader.Format.CSV);
        double speed = traceTable.number("speed", 1, 0.001, 10_000);
        root.finish();
        RecordedTrace trace = traced ? TraceReader.read(directory.resolve(file), format, classes, speed) : null;
        return new LoadPlan(seed, profiles, trace, classes, tenants, clients, maxOpen, maxLatenessMillis, verify);
    }

    private static RateProfile profile(TomlTable table) {
        ProfileKind kind = table.choice("kind", ProfileKind.class, ProfileKind.POISSON);
        double seconds = table.number("for_s", 10, 0.001, MAX_SECONDS);
        boolean random = table.flag("random", kind != ProfileKind.STEADY);
        return switch (kind) {
            case STEADY, POISSON -> new RateProfile.Steady(seconds, rate(table, "rate"), random);
            case RAMP -> new RateProfile.Ramp(seconds, rate(table, "from"), rate(table, "to"), random);
            case WAVE ->
                new RateProfile.Wave(
                        seconds,
                        rate(table, "rate"),
                        table.number("swing", 0.3, 0, 1),
                        table.number("period_s", 60, 0.01, MAX_SECONDS),
                        random);
            case STEP -> new RateProfile.Step(seconds, table.numbers("rates", new double[] {100}, 0, MAX_RATE), random);
            case SURGE -> surge(table, seconds, random);
        };
    }

    private static RateProfile surge(TomlTable table, double seconds, boolean random) {
        double startSeconds = table.number("at_s", seconds / 4, 0, MAX_SECONDS);
        double riseSeconds = table.number("rise_s", seconds / 8, 0, MAX_SECONDS);
        double holdSeconds = table.number("hold_s", seconds / 4, 0, MAX_SECONDS);
        double fallSeconds = table.number("fall_s", seconds / 8, 0, MAX_SECONDS);
        if (startSeconds + riseSeconds + holdSeconds + fallSeconds > seconds + 1e-9) {
            table.error(
                    "for_s",
                    "found " + seconds + ", expected at least the sum of at_s, rise_s, hold_s and fall_s, "
                            + (startSeconds + riseSeconds + holdSeconds + fallSeconds));
        }
        return new RateProfile.Surge(
                seconds,
                rate(table, "base"),
                rate(table, "peak"),
                startSeconds,
                riseSeconds,
                holdSeconds,
                fallSeconds,
                random);
    }

    private static double rate(TomlTable table, String key) {
        if (!table.has(key)) {
            table.error(key, "is missing, expected a rate in requests per second");
        }
        return table.number(key, 1, 0, MAX_RATE);
    }

    private static List<LoadClass> classes(TomlTable root) {
        List<LoadClass> out = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlTable table : root.tables("class")) {
            RequestClassKeys keys = RequestClassKeys.read(table, names);
            LoadClass.Semantics semantics =
                    table.choice("semantics", LoadClass.Semantics.class, LoadClass.Semantics.AT_MOST_ONCE);
            int body =
                    (int) table.integer("body_bytes", semantics == LoadClass.Semantics.IDEMPOTENT ? 0 : 200, 0, 65_536);
            if (semantics == LoadClass.Semantics.IDEMPOTENT && body > 0) {
                table.error("body_bytes", "found " + body + ", expected 0 for a class that is sent with GET");
            }
            out.add(new LoadClass(
                    keys.name(),
                    table.number("share", 1, 0, 1e9),
                    semantics,
                    keys.latencyObjectiveMs(),
                    keys.deadlineMs(),
                    table.number("window_ms", 750, 0, 3_600_000),
                    body,
                    (int) table.integer("keys", 0, 0, 100_000_000)));
        }
        if (out.isEmpty()) {
            return standardClasses();
        }
        if (out.stream().mapToDouble(LoadClass::share).sum() <= 0) {
            root.error("class", "expected at least one class with a share above 0");
        }
        return out;
    }

    private static List<LoadClass> standardClasses() {
        return List.of(
                new LoadClass("list", 6, LoadClass.Semantics.IDEMPOTENT, 400, 800, 0, 0, 0),
                new LoadClass("log", 3, LoadClass.Semantics.KEYED, 400, 1_200, 750, 200, 0),
                new LoadClass("claim", 1, LoadClass.Semantics.AT_MOST_ONCE, 400, 800, 0, 200, 0));
    }

    private static List<LoadPlan.Tenant> tenants(TomlTable root) {
        List<LoadPlan.Tenant> out = new ArrayList<>();
        for (TomlTable table : root.tables("tenant")) {
            String name = table.text("name");
            if (!name.matches("[A-Za-z0-9._-]{1,64}")) {
                table.error("name", "found '" + name + "', expected 1 to 64 letters, digits, dots, - or _");
            }
            out.add(new LoadPlan.Tenant(name, table.number("share", 1, 0, 1e9)));
        }
        if (!out.isEmpty() && out.stream().mapToDouble(LoadPlan.Tenant::share).sum() <= 0) {
            root.error("tenant", "expected at least one tenant with a share above 0");
        }
        return out;
    }

    private static ClientSpec clients(TomlTable table) {
        double[] share = table.numbers("try_share", new double[] {0.5, 0.6}, 0.01, 1);
        if (share.length != 2 || share[0] > share[1]) {
            table.error(
                    "try_share",
                    "found " + Arrays.toString(share) + ", expected two shares of the deadline, the lower one first");
            share = new double[] {0.5, 0.6};
        }
        return new ClientSpec(
                (int) table.integer("count", 100, 1, 1_000_000),
                table.number("skew", 0.8, 0, 5),
                (int) table.integer("retries", 3, 0, 100),
                (int) table.integer("attempts", 6, 1, 100),
                table.number("pause_ms", 0, 0, 60_000),
                table.number("growth", 1, 1, 10),
                share[0],
                share[1],
                table.flag("announced", true),
                table.number("impatient", 0, 0, 1),
                table.number("heeding", 0.5, 0, 1),
                table.number("most_retry_after_ms", 2_000, 0, 3_600_000),
                table.number("grace_ms", 70, 0, 60_000),
                table.number("idle_ms", 1_500, 1, 3_600_000));
    }
}
