package rillyard.trial;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import rillyard.process.Launch;

/** Runs a plan: starts the processes, carries the timetable out, and tells what they believed. */
public final class Trial {
  /** All have to have found each other after so long (ms) and a share for each process. */
  private static final long JOIN_MS = 30_000;

  private static final long JOIN_EACH_MS = 300;
  private static final long POLL_MS = 100;

  /** One thing to do at its time. */
  private record Step(double at, Fault fault, boolean begin) {}

  private final TrialPlan plan;
  private final Path folder;
  private final PrintStream out;

  /** Files go to the folder, progress to {@code out}. */
  public Trial(TrialPlan plan, Path folder, PrintStream out) {
    this.plan = plan;
    this.folder = folder;
    this.out = out;
  }

  /**
   * Runs it; no process is left, whatever comes of it.
   *
   * @param launch how the processes are started
   * @throws Exception if they can't be started, or don't find each other
   */
  public TrialResult run(Launch launch) throws Exception {
    out.println("seed " + plan.seed() + ", " + plan.processes() + " processes in " + plan.zones() + " zones");
    plan.faults().forEach(f -> out.println("  " + f));
    try (TrialFleet fleet = new TrialFleet(plan, launch, folder)) {
      Thread end = new Thread(fleet::killAll, "trial-end");
      Runtime.getRuntime().addShutdownHook(end);
      try {
        return run(fleet);
      } finally {
        try {
          Runtime.getRuntime().removeShutdownHook(end);
        } catch (IllegalStateException e) {
          // this process is told to end, and the hook ends the others
        }
      }
    }
  }

  private TrialResult run(TrialFleet fleet) throws Exception {
    long from = System.currentTimeMillis();
    for (TrialMember m : fleet.members()) {
      fleet.start(m);
    }
    Set<String> all = fleet.members().stream().map(TrialMember::name).collect(Collectors.toSet());
    awaitAgreement(fleet, all, JOIN_MS + plan.processes() * JOIN_EACH_MS);
    out.printf(Locale.ROOT, "all have found each other after %.1f s%n", (System.currentTimeMillis() - from) / 1e3);
    long begun = System.currentTimeMillis();
    List<TrialResult.Done> done = carryOut(fleet, begun);
    awaitEnd(fleet, all, begun + (long) plan.lasts());
    return new TrialResult(plan, begun, done, living(all, fleet), read(fleet));
  }

  private static Beliefs read(TrialFleet fleet) throws IOException {
    return Beliefs.read(fleet.members().stream().map(fleet::history).toList());
  }

  private static Set<String> living(Set<String> all, TrialFleet fleet) {
    Set<String> living = new HashSet<>(all);
    fleet.members().stream().filter(m -> !fleet.child(m).alive()).forEach(m -> living.remove(m.name()));
    return living;
  }

  private static void awaitAgreement(TrialFleet fleet, Set<String> living, long mostMs) throws Exception {
    long until = System.nanoTime() + mostMs * 1_000_000;
    while (read(fleet).agreedSince(living) < 0) {
      for (TrialMember m : fleet.members()) {
        if (!fleet.child(m).alive()) {
          throw new IOException(m.name() + " ended by itself; see its log");
        }
      }
      if (System.nanoTime() > until) {
        throw new IOException("the processes did not find each other within " + mostMs / 1_000 + " s");
      }
      pause(fleet);
    }
  }

  /** Each look reads all histories anew: the larger they are together, the seldomer. */
  private static void pause(TrialFleet fleet) throws InterruptedException {
    Thread.sleep(POLL_MS * Math.max(1, fleet.members().size() / 20));
  }

  /** Waits until those that live agree, all faults being done, and no longer than until {@code most}. */
  private static void awaitEnd(TrialFleet fleet, Set<String> all, long most) throws Exception {
    while (System.currentTimeMillis() < most && read(fleet).agreedSince(living(all, fleet)) < 0) {
      pause(fleet);
    }
  }

  private List<TrialResult.Done> carryOut(TrialFleet fleet, long begun) throws Exception {
    List<Step> steps = new ArrayList<>();
    for (Fault f : plan.faults()) {
      steps.add(new Step(f.at(), f, true));
      if (f.lasts() > 0) {
        steps.add(new Step(f.at() + f.lasts(), f, false));
      }
    }
    steps.sort(Comparator.comparingDouble(Step::at));
    List<TrialResult.Done> done = new ArrayList<>();
    for (Step s : steps) {
      Thread.sleep(Math.max(0, begun + (long) s.at() - System.currentTimeMillis()));
      Fault f = s.fault();
      long at = System.currentTimeMillis();
      if (f.kind().between()) {
        if (s.begin()) {
          fleet.relays.begin(f);
        } else {
          fleet.relays.end(f);
        }
      } else {
        for (TrialMember m : fleet.members()) {
          if (f.on().has(m)) {
            if (s.begin()) {
              fleet.act(f.kind(), m);
            } else {
              fleet.resume(m);
            }
          }
        }
      }
      done.add(new TrialResult.Done(at, f, s.begin()));
    }
    return done;
  }
}
