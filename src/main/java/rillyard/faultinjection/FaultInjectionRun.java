package rillyard.faultinjection;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import rillyard.childprocess.LaunchCommand;
import rillyard.childprocess.ProxyProcess;
import rillyard.loadgen.LoadRun;
import rillyard.loadgen.ReportFiles;
import rillyard.loadgen.RunReport;
import rillyard.loadgen.TimelineEvents;
import rillyard.requestlog.LogHeader;
import rillyard.requestlog.RequestLogWriter;
import rillyard.requestlog.UnixClock;

/** Runs a plan: starts the processes, carries the fault schedule out, and tells what they believed. */
public final class FaultInjectionRun {
    /** All have to have found each other after so long (ms) and a share for each process. */
    private static final long JOIN_MS = 30_000;

    private static final long JOIN_EACH_MS = 300;
    private static final long POLL_MS = 100;
    private static final int STARTS_A_CORE = 2;
    private static final long START_POLL_MS = 20;
    private static final long SHOW_NANOS = 5_000_000_000L;
    private static final String CLIENTS = "clients.jsonl";
    private static final String HOSTS = "hosts.jsonl";

    /** One thing to do at its time. */
    private record Step(double at, InjectedFault fault, boolean begin) {}

    private final FaultInjectionPlan plan;
    private final Path folder;
    private final PrintStream out;

    /** Files go to the folder, progress to {@code out}. */
    public FaultInjectionRun(FaultInjectionPlan plan, Path folder, PrintStream out) {
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
    public FaultInjectionResult run(LaunchCommand launch) throws Exception {
        out.println("seed " + plan.seed() + ", " + plan.processes() + " processes in " + plan.zones() + " zones");
        plan.faults().forEach(fault -> out.println("  " + fault));
        Files.createDirectories(folder);
        long now = UnixClock.micros();
        LogHeader head = new LogHeader("clients", now, plan.seed());
        FaultInjectionResult result;
        Path config;
        LoadRun load;
        try (RequestLogWriter hosts = RequestLogWriter.open(file(HOSTS), new LogHeader("hosts", now, plan.seed()));
                RequestLogWriter clients =
                        plan.load() == null ? RequestLogWriter.disabled() : RequestLogWriter.open(file(CLIENTS), head);
                ProcessFleet fleet = new ProcessFleet(plan, launch, folder, hosts)) {
            config = fleet.config();
            load = plan.load() == null ? null : new LoadRun(plan.load(), fleet.serving(), true, clients, null);
            Thread end = new Thread(fleet::killAll, "trial-end");
            Runtime.getRuntime().addShutdownHook(end);
            try {
                result = run(fleet, load);
            } finally {
                try {
                    Runtime.getRuntime().removeShutdownHook(end);
                } catch (IllegalStateException e) {
                    // this process is told to end, and the hook ends the others
                }
            }
        }
        result.write(file("history.jsonl"));
        if (load != null) {
            audit(result, load, config);
        }
        return result;
    }

    private void audit(FaultInjectionResult result, LoadRun load, Path config) throws Exception {
        result.setServed(
                FaultInjectionAudit.of(file(CLIENTS), file(HOSTS), config, plan, result.done()),
                RunImbalance.of(file(CLIENTS), file(HOSTS), plan, result.done()),
                load.startedMicros());
        List<RunReport.Mark> marks = new ArrayList<>(TimelineEvents.read(file(HOSTS), load.startedMicros()));
        for (FaultInjectionResult.Done done : result.done()) {
            String where = done.fault().target() == InjectedFault.Place.PROCESSES ? "processes" : "network";
            marks.add(new RunReport.Mark(
                    (done.at() - load.startedMicros() / 1_000) / 1e3,
                    where,
                    done.fault().description() + (done.begin() ? "" : " ends")));
        }
        marks.sort(Comparator.comparingDouble(RunReport.Mark::at));
        ReportFiles.write(
                folder, load.report(marks), "Trial of " + plan.processes() + " processes, seed " + plan.seed());
    }

    private Path file(String name) {
        return folder.resolve(name);
    }

    private FaultInjectionResult run(ProcessFleet fleet, LoadRun load) throws Exception {
        long from = System.currentTimeMillis();
        startAll(fleet);
        Set<String> all = fleet.members().stream().map(FleetProcess::name).collect(Collectors.toSet());
        awaitAgreement(fleet, all, JOIN_MS + plan.processes() * JOIN_EACH_MS);
        out.printf(Locale.ROOT, "all have found each other after %.1f s%n", (System.currentTimeMillis() - from) / 1e3);
        ResourceUsage expense = new ResourceUsage(fleet);
        Thread asking = load == null ? null : asking(load);
        fleet.hosts.startFaultSchedule();
        long begun = System.currentTimeMillis();
        List<FaultInjectionResult.Done> done = new ArrayList<>();
        try {
            execute(fleet, begun, done);
            awaitEnd(fleet, all, begun + (long) plan.lasts());
            if (asking != null) {
                asking.join();
            }
        } finally {
            if (asking != null) {
                load.interrupt();
                asking.join();
            }
        }
        return new FaultInjectionResult(plan, begun, done, living(all, fleet), read(fleet), expense.words());
    }

    private static Thread asking(LoadRun load) {
        Thread thread = new Thread(
                () -> {
                    try {
                        load.run();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "clients");
        thread.start();
        return thread;
    }

    /** Starts them, some at a time: all at once they are so slow that they take each other for dead. */
    private void startAll(ProcessFleet fleet) throws Exception {
        int atOnce = Math.max(4, STARTS_A_CORE * Runtime.getRuntime().availableProcessors());
        Deque<FleetProcess> starting = new ArrayDeque<>();
        long shown = System.nanoTime();
        int started = 0;
        for (FleetProcess process : fleet.members()) {
            while (starting.size() >= atOnce) {
                starting.removeIf(fleetProcess ->
                        ProxyProcess.state(fleet.serving().get(fleetProcess.index())) == ProxyProcess.State.READY);
                checkAlive(fleet, starting);
                Thread.sleep(START_POLL_MS);
            }
            fleet.start(process);
            starting.add(process);
            started++;
            if (System.nanoTime() - shown > SHOW_NANOS) {
                shown = System.nanoTime();
                out.println("started " + started + " of " + plan.processes());
            }
        }
        while (!starting.isEmpty()) {
            starting.removeIf(s -> ProxyProcess.state(fleet.serving().get(s.index())) == ProxyProcess.State.READY);
            checkAlive(fleet, starting);
            Thread.sleep(START_POLL_MS);
        }
    }

    private static void checkAlive(ProcessFleet fleet, Iterable<FleetProcess> members) throws IOException {
        for (FleetProcess process : members) {
            if (!fleet.child(process).isAlive()) {
                throw new IOException(process.name() + " ended by itself; see its log");
            }
        }
    }

    private static MembershipTimeline read(ProcessFleet fleet) throws IOException {
        return MembershipTimeline.read(
                fleet.members().stream().map(fleet::history).toList());
    }

    private static Set<String> living(Set<String> all, ProcessFleet fleet) {
        Set<String> living = new HashSet<>(all);
        fleet.members().stream()
                .filter(process -> !fleet.child(process).isAlive())
                .forEach(fleetProcess -> living.remove(fleetProcess.name()));
        return living;
    }

    private static void awaitAgreement(ProcessFleet fleet, Set<String> living, long mostMs) throws Exception {
        long until = System.nanoTime() + mostMs * 1_000_000;
        while (read(fleet).agreedSince(living) < 0) {
            checkAlive(fleet, fleet.members());
            if (System.nanoTime() > until) {
                throw new IOException("the processes did not find each other within " + mostMs / 1_000 + " s");
            }
            pause(fleet);
        }
    }

    /** Each look reads all histories anew: the larger they are together, the seldomer. */
    private static void pause(ProcessFleet fleet) throws InterruptedException {
        Thread.sleep(POLL_MS * Math.max(1, fleet.members().size() / 20));
    }

    /** Waits until those that live agree, all faults being done, and no longer than until {@code most}. */
    private static void awaitEnd(ProcessFleet fleet, Set<String> all, long most) throws Exception {
        while (System.currentTimeMillis() < most && read(fleet).agreedSince(living(all, fleet)) < 0) {
            pause(fleet);
        }
    }

    private void execute(ProcessFleet fleet, long begun, List<FaultInjectionResult.Done> done) throws Exception {
        List<Step> steps = new ArrayList<>();
        for (InjectedFault fault : plan.faults()) {
            steps.add(new Step(fault.startMs(), fault, true));
            if (fault.durationMs() > 0) {
                steps.add(new Step(fault.startMs() + fault.durationMs(), fault, false));
            }
        }
        steps.sort(Comparator.comparingDouble(Step::at));
        for (Step step : steps) {
            Thread.sleep(Math.max(0, begun + (long) step.at() - System.currentTimeMillis()));
            long at = System.currentTimeMillis();
            execute(fleet, step);
            done.add(new FaultInjectionResult.Done(at, step.fault(), step.begin()));
        }
    }

    private static void execute(ProcessFleet fleet, Step step) throws Exception {
        InjectedFault fault = step.fault();
        switch (fault.target()) {
            case DATAGRAMS -> {
                if (step.begin()) {
                    fleet.datagrams.begin(fault);
                } else {
                    fleet.datagrams.end(fault);
                }
            }
            case CONNECTIONS -> {
                if (step.begin()) {
                    fleet.connections.begin(fault);
                } else {
                    fleet.connections.end(fault);
                }
            }
            case PROCESSES -> {
                for (FleetProcess process : fleet.members()) {
                    if (fault.sources().matches(process) && step.begin()) {
                        fleet.begin(fault, process);
                    } else if (fault.sources().matches(process)) {
                        fleet.end(fault, process);
                    }
                }
                if (fault.kind() == InjectedFault.Kind.RESTART) {
                    // Prevents kills that wait behind the starts of others: they would come seconds after their
                    // time.
                    for (FleetProcess fleetProcess : fleet.members()) {
                        if (fault.sources().matches(fleetProcess)) {
                            fleet.start(fleetProcess);
                        }
                    }
                }
            }
        }
    }
}
