package rillyard.trial;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import rillyard.input.InvalidFileException;
import rillyard.input.TomlTable;

/** Reads the plan of a trial. */
public final class TrialPlanReader {
  private static final int MOST = 1_000;

  private TrialPlanReader() {}

  /**
   * Reads a file.
   *
   * @throws InvalidFileException with all findings, by line
   */
  public static TrialPlan read(Path file) throws InvalidFileException {
    return read(TomlTable.read(file));
  }

  /** Reads a text; {@code name} stands for it in findings. */
  public static TrialPlan parse(String name, String text) throws InvalidFileException {
    return read(TomlTable.parse(name, text));
  }

  private static TrialPlan read(TomlTable root) throws InvalidFileException {
    long seed = root.whole("seed", 1, 0, Long.MAX_VALUE);
    int processes = (int) root.whole("processes", 12, 2, MOST);
    int zones = (int) root.whole("zones", 1, 1, 200);
    double lasts = 1_000 * root.number("for_s", 30, 1, 3_600);
    TomlTable m = root.table("membership");
    String membership = String.format(Locale.ROOT, "interval_ms = %s%ntimeout_ms = %s%n",
        m.number("interval_ms", 500, 100, 60_000), m.number("timeout_ms", 150, 10, 30_000));
    List<Fault> faults = new ArrayList<>();
    for (TomlTable t : root.tables("fault")) {
      faults.add(fault(t, lasts));
    }
    root.finish();
    faults.sort(Comparator.comparingDouble(Fault::at));
    return new TrialPlan(seed, processes, zones, lasts, membership, List.copyOf(faults));
  }

  private static Fault fault(TomlTable t, double lasts) {
    Fault.Kind kind = t.choice("kind", Fault.Kind.class, Fault.Kind.KILL);
    double at = 1_000 * t.number("at_s", 0, 0, lasts / 1_000);
    Group on = group(t, "on");
    boolean between = kind.between();
    Group to = between ? group(t, "to") : on;
    boolean lastsFor = between || kind == Fault.Kind.STOP;
    double forMs = lastsFor ? 1_000 * t.number("for_s", 5, 0.05, 3_600) : 0;
    double share = between && kind != Fault.Kind.DELAY ? t.number("share", 1, 0, 1) : 0;
    double late = kind == Fault.Kind.DELAY ? t.number("late_ms", 50, 0, 60_000) : 0;
    return new Fault(at, kind, on, to, between && t.flag("one_way", false), forMs, share, late);
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
