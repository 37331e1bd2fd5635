package rillyard.loadgen;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import rillyard.config.InvalidConfigException;
import rillyard.config.TomlTable;

/** Reads a plan from TOML. What is left out has its default; an error names its line. */
public final class LoadPlanReader {
    private enum Kind {
        STEADY,
        POISSON,
        RAMP,
        SURGE,
        WAVE,
        STEP
    }

    private static final double MOST_RATE = 1e6;
    private static final double MOST_SECONDS = 7 * 86_400;

    private LoadPlanReader() {}

    /**
     * Reads a file; a trace is looked up beside it.
     *
     * @throws InvalidConfigException with all findings
     */
    public static LoadPlan read(Path file) throws InvalidConfigException {
        Path beside = file.toAbsolutePath().getParent();
        return read(TomlTable.read(file), beside);
    }

    /** Reads a text; {@code name} stands for it in findings, and traces are looked up in {@code in}. */
    public static LoadPlan parse(String name, String text, Path in) throws InvalidConfigException {
        return read(TomlTable.parse(name, text), in);
    }

    private static LoadPlan read(TomlTable root, Path beside) throws InvalidConfigException {
        long seed = root.whole("seed", 1, 0, Long.MAX_VALUE);
        int maxOpen = (int) root.whole("max_open", 20_000, 1, 1_000_000);
        double lateness = root.number("lateness_ms", 5, 0.01, 60_000);
        boolean verify = root.flag("verify", true);
        List<LoadClass> classes = classes(root);
        List<LoadPlan.Tenant> tenants = tenants(root);
        ClientSpec clients = clients(root.table("clients"));
        List<RateProfile> shapes = new ArrayList<>();
        for (TomlTable t : root.tables("shape")) {
            shapes.add(shape(t));
        }
        boolean traced = root.has("trace");
        if (traced == !shapes.isEmpty()) {
            root.error(
                    traced ? "trace" : "shape",
                    traced
                            ? "found besides [[shape]], expected one of the two"
                            : "expected a [[shape]] at least, or a [trace]");
        }
        TomlTable t = root.table("trace");
        String file = traced ? t.text("file") : "";
        TraceReader.Form form = t.choice("form", TraceReader.Form.class, TraceReader.Form.CSV);
        double speed = t.number("speed", 1, 0.001, 10_000);
        root.finish();
        RecordedTrace trace = traced ? TraceReader.read(beside.resolve(file), form, classes, speed) : null;
        return new LoadPlan(seed, shapes, trace, classes, tenants, clients, maxOpen, lateness, verify);
    }

    private static RateProfile shape(TomlTable t) {
        Kind kind = t.choice("kind", Kind.class, Kind.POISSON);
        double s = t.number("for_s", 10, 0.001, MOST_SECONDS);
        boolean random = t.flag("random", kind != Kind.STEADY);
        return switch (kind) {
            case STEADY, POISSON -> new RateProfile.Steady(s, rate(t, "rate"), random);
            case RAMP -> new RateProfile.Ramp(s, rate(t, "from"), rate(t, "to"), random);
            case WAVE ->
                new RateProfile.Wave(
                        s,
                        rate(t, "rate"),
                        t.number("swing", 0.3, 0, 1),
                        t.number("period_s", 60, 0.01, MOST_SECONDS),
                        random);
            case STEP -> new RateProfile.Step(s, t.numbers("rates", new double[] {100}, 0, MOST_RATE), random);
            case SURGE -> surge(t, s, random);
        };
    }

    private static RateProfile surge(TomlTable t, double s, boolean random) {
        double at = t.number("at_s", s / 4, 0, MOST_SECONDS);
        double rise = t.number("rise_s", s / 8, 0, MOST_SECONDS);
        double hold = t.number("hold_s", s / 4, 0, MOST_SECONDS);
        double fall = t.number("fall_s", s / 8, 0, MOST_SECONDS);
        if (at + rise + hold + fall > s + 1e-9) {
            t.error(
                    "for_s",
                    "found " + s + ", expected no less than at_s, rise_s, hold_s and fall_s" + " together, "
                            + (at + rise + hold + fall));
        }
        return new RateProfile.Surge(s, rate(t, "base"), rate(t, "peak"), at, rise, hold, fall, random);
    }

    private static double rate(TomlTable t, String key) {
        if (!t.has(key)) {
            t.error(key, "is missing, expected requests a second");
        }
        return t.number(key, 1, 0, MOST_RATE);
    }

    private static List<LoadClass> classes(TomlTable root) {
        List<LoadClass> out = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TomlTable t : root.tables("class")) {
            String name = t.text("name");
            if (!name.matches("[A-Za-z0-9._-]{1,64}")) {
                t.error("name", "found '" + name + "', expected 1 to 64 letters, digits, dots, - or _");
            } else if (!names.add(name)) {
                t.error("name", "'" + name + "' is another class's too");
            }
            double aim = t.number("aim_ms", 400, 1, 3_600_000);
            double deadline = t.number("deadline_ms", 2 * aim, 1, 3_600_000);
            if (deadline < aim) {
                t.error("deadline_ms", "found " + deadline + ", expected no less than aim_ms, " + aim);
            }
            LoadClass.Semantics s = t.choice("semantics", LoadClass.Semantics.class, LoadClass.Semantics.AT_MOST_ONCE);
            int body = (int) t.whole("body_bytes", s == LoadClass.Semantics.IDEMPOTENT ? 0 : 200, 0, 65_536);
            if (s == LoadClass.Semantics.IDEMPOTENT && body > 0) {
                t.error("body_bytes", "found " + body + ", expected 0 for a class that is sent with GET");
            }
            out.add(new LoadClass(
                    name,
                    t.number("share", 1, 0, 1e9),
                    s,
                    aim,
                    deadline,
                    t.number("window_ms", 750, 0, 3_600_000),
                    body,
                    (int) t.whole("keys", 0, 0, 100_000_000)));
        }
        if (out.isEmpty()) {
            return standardClasses();
        }
        if (out.stream().mapToDouble(LoadClass::share).sum() <= 0) {
            root.error("class", "expected a share above 0 at one class at least");
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
        for (TomlTable t : root.tables("tenant")) {
            String name = t.text("name");
            if (!name.matches("[A-Za-z0-9._-]{1,64}")) {
                t.error("name", "found '" + name + "', expected 1 to 64 letters, digits, dots, - or _");
            }
            out.add(new LoadPlan.Tenant(name, t.number("share", 1, 0, 1e9)));
        }
        if (!out.isEmpty() && out.stream().mapToDouble(LoadPlan.Tenant::share).sum() <= 0) {
            root.error("tenant", "expected a share above 0 at one tenant at least");
        }
        return out;
    }

    private static ClientSpec clients(TomlTable t) {
        double[] share = t.numbers("try_share", new double[] {0.5, 0.6}, 0.01, 1);
        if (share.length != 2 || share[0] > share[1]) {
            t.error("try_share", "expected two shares of the deadline, the lower one first");
            share = new double[] {0.5, 0.6};
        }
        return new ClientSpec(
                (int) t.whole("count", 100, 1, 1_000_000),
                t.number("skew", 0.8, 0, 5),
                (int) t.whole("retries", 3, 0, 100),
                (int) t.whole("attempts", 6, 1, 100),
                t.number("pause_ms", 0, 0, 60_000),
                t.number("growth", 1, 1, 10),
                share[0],
                share[1],
                t.flag("announced", true),
                t.number("impatient", 0, 0, 1),
                t.number("heeding", 0.5, 0, 1),
                t.number("most_retry_after_ms", 2_000, 0, 3_600_000),
                t.number("grace_ms", 70, 0, 60_000),
                t.number("idle_ms", 1_500, 1, 3_600_000));
    }
}
