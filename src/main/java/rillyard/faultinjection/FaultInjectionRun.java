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

/** Executes a fault-injection plan: starts the processes, injects the faults on schedule, and collects the results. */
public final class FaultInjectionRun {
    /** Time in milliseconds within which all processes must find each other, plus a share for each process. */
    private static final long JOIN_TIMEOUT_MS = 30_000;

    private static final long JOIN_TIMEOUT_PER_PROCESS_MS = 300;
    private static final long POLL_MS = 100;
    private static final int STARTS_PER_CORE = 2;
    private static final long START_POLL_MS = 20;
    private static final long PROGRESS_INTERVAL_NANOS = 5_000_000_000L;
    private static final String CLIENTS = "clients.jsonl";
    private static final String HOSTS = "hosts.jsonl";

    /** One step of the fault schedule: a fault begins or ends, {@code at} milliseconds from the schedule's start. */
    private record Step(double at, InjectedFault fault, boolean begins) {}

    private final FaultInjectionPlan plan;
    private final Path folder;
    private final PrintStream out;

    /**
     * Creates a run.
     *
     * @param folder folder for logs and reports; created if it does not exist
     * @param out receives progress messages
     */
    public FaultInjectionRun(FaultInjectionPlan plan, Path folder, PrintStream out) {
        this.plan = plan;
        this.folder = folder;
        this.out = out;
    }

    /**
     * Executes the plan and returns its result. Ends all processes that it started, also if it fails.
     *
     * @param launch how the processes are started
     * @throws Exception if the processes can't be started, or do not find each other in time
     */
    public FaultInjectionResult run(LaunchCommand launch) throws Exception {
        out.println("seed " + plan.seed() + ", " + plan.processes() + " processes in " + plan.zones() + " zones");
        plan.faults().forEach(fault -> out.println("  " + fault));
        Files.createDirectories(folder);
        long nowMicros = UnixClock.micros();
        LogHeader header = new LogHeader("clients", nowMicros, plan.seed());
        FaultInjectionResult result;
        Path config;
        LoadRun load;
        try (RequestLogWriter hosts =
                        RequestLogWriter.open(file(HOSTS), new LogHeader("hosts", nowMicros, plan.seed()));
                RequestLogWriter clients = plan.load() == null
                        ? RequestLogWriter.disabled()
                        : RequestLogWriter.open(file(CLIENTS), header);
                ProcessFleet fleet = new ProcessFleet(plan, launch, folder, hosts)) {
            config = fleet.config();
            load = plan.load() == null ? null : new LoadRun(plan.load(), fleet.proxyAddresses(), true, clients, null);
            Thread shutdownHook = new Thread(fleet::killAll, "trial-end");
            Runtime.getRuntime().addShutdownHook(shutdownHook);
            try {
                result = run(fleet, load);
            } finally {
                try {
                    Runtime.getRuntime().removeShutdownHook(shutdownHook);
                } catch (IllegalStateException e) {
                    // this JVM is shutting down, and the hook ends the processes
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
        result.setLoadResults(
                FaultInjectionAudit.of(file(CLIENTS), file(HOSTS), config, plan, result.executedSteps()),
                RunImbalance.of(file(CLIENTS), file(HOSTS), plan, result.executedSteps()),
                load.startedMicros());
        List<RunReport.Mark> marks = new ArrayList<>(TimelineEvents.read(file(HOSTS), load.startedMicros()));
        for (FaultInjectionResult.ExecutedStep step : result.executedSteps()) {
            String lane = step.fault().target() == InjectedFault.Target.PROCESSES ? "processes" : "network";
            marks.add(new RunReport.Mark(
                    (step.at() - load.startedMicros() / 1_000) / 1e3,
                    lane,
                    step.fault().description() + (step.begins() ? "" : " ends")));
        }
        marks.sort(Comparator.comparingDouble(RunReport.Mark::at));
        ReportFiles.write(
                folder, load.report(marks), "Trial of " + plan.processes() + " processes, seed " + plan.seed());
    }

    private Path file(String name) {
        return folder.resolve(name);
    }

    private FaultInjectionResult run(ProcessFleet fleet, LoadRun load) throws Exception {
        long joinStartMillis = UnixClock.millis();
        startAll(fleet);
        Set<String> names = fleet.members().stream().map(FleetProcess::name).collect(Collectors.toSet());
        awaitAgreement(fleet, names, JOIN_TIMEOUT_MS + plan.processes() * JOIN_TIMEOUT_PER_PROCESS_MS);
        out.printf(
                Locale.ROOT, "all have found each other after %.1f s%n", (UnixClock.millis() - joinStartMillis) / 1e3);
        ResourceUsage resourceUsage = new ResourceUsage(fleet);
        Thread loadThread = load == null ? null : startLoad(load);
        fleet.testCluster.startFaultSchedule();
        long startMillis = UnixClock.millis();
        List<FaultInjectionResult.ExecutedStep> executedSteps = new ArrayList<>();
        try {
            execute(fleet, startMillis, executedSteps);
            awaitEnd(fleet, names, startMillis + (long) plan.durationMs());
            if (loadThread != null) {
                loadThread.join();
            }
        } finally {
            if (loadThread != null) {
                load.interrupt();
                loadThread.join();
            }
        }
        return new FaultInjectionResult(
                plan, startMillis, executedSteps, survivors(names, fleet), readTimeline(fleet), resourceUsage.report());
    }

    private static Thread startLoad(LoadRun load) {
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

    /**
     * Starts the processes, a few at a time: if all started at once, they would be slow enough to suspect each other.
     */
    private void startAll(ProcessFleet fleet) throws Exception {
        int maxConcurrent = Math.max(4, STARTS_PER_CORE * Runtime.getRuntime().availableProcessors());
        Deque<FleetProcess> starting = new ArrayDeque<>();
        long lastProgressNanos = System.nanoTime();
        int started = 0;
        for (FleetProcess process : fleet.members()) {
            while (starting.size() >= maxConcurrent) {
                starting.removeIf(candidate ->
                        ProxyProcess.state(fleet.proxyAddresses().get(candidate.index())) == ProxyProcess.State.READY);
                checkAlive(fleet, starting);
                Thread.sleep(START_POLL_MS);
            }
            fleet.start(process);
            starting.add(process);
            started++;
            if (System.nanoTime() - lastProgressNanos > PROGRESS_INTERVAL_NANOS) {
                lastProgressNanos = System.nanoTime();
                out.println("started " + started + " of " + plan.processes());
            }
        }
        while (!starting.isEmpty()) {
            starting.removeIf(candidate ->
                    ProxyProcess.state(fleet.proxyAddresses().get(candidate.index())) == ProxyProcess.State.READY);
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

    private static MembershipTimeline readTimeline(ProcessFleet fleet) throws IOException {
        return MembershipTimeline.read(
                fleet.members().stream().map(fleet::history).toList());
    }

    private static Set<String> survivors(Set<String> names, ProcessFleet fleet) {
        Set<String> survivors = new HashSet<>(names);
        fleet.members().stream()
                .filter(process -> !fleet.child(process).isAlive())
                .forEach(process -> survivors.remove(process.name()));
        return survivors;
    }

    private static void awaitAgreement(ProcessFleet fleet, Set<String> names, long timeoutMs) throws Exception {
        long deadlineNanos = System.nanoTime() + timeoutMs * 1_000_000;
        while (readTimeline(fleet).agreedSince(names) < 0) {
            checkAlive(fleet, fleet.members());
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException("the processes did not find each other within " + timeoutMs / 1_000 + " s");
            }
            waitForNextPoll(fleet);
        }
    }

    /** Sleeps until the next poll. Each poll reads all histories again, so that the interval grows with the fleet. */
    private static void waitForNextPoll(ProcessFleet fleet) throws InterruptedException {
        Thread.sleep(POLL_MS * Math.max(1, fleet.members().size() / 20));
    }

    /** Waits after the last fault until the survivors agree, at most until {@code deadlineMillis} (Unix time). */
    private static void awaitEnd(ProcessFleet fleet, Set<String> names, long deadlineMillis) throws Exception {
        while (UnixClock.millis() < deadlineMillis && readTimeline(fleet).agreedSince(survivors(names, fleet)) < 0) {
            waitForNextPoll(fleet);
        }
    }

    private void execute(ProcessFleet fleet, long startMillis, List<FaultInjectionResult.ExecutedStep> executedSteps)
            throws Exception {
        List<Step> steps = new ArrayList<>();
        for (InjectedFault fault : plan.faults()) {
            steps.add(new Step(fault.startMs(), fault, true));
            if (fault.durationMs() > 0) {
                steps.add(new Step(fault.startMs() + fault.durationMs(), fault, false));
            }
        }
        steps.sort(Comparator.comparingDouble(Step::at));
        for (Step step : steps) {
            Thread.sleep(Math.max(0, startMillis + (long) step.at() - UnixClock.millis()));
            long at = UnixClock.millis();
            execute(fleet, step);
            executedSteps.add(new FaultInjectionResult.ExecutedStep(at, step.fault(), step.begins()));
        }
    }

    private static void execute(ProcessFleet fleet, Step step) throws Exception {
        InjectedFault fault = step.fault();
        switch (fault.target()) {
            case DATAGRAMS -> {
                if (step.begins()) {
                    fleet.datagramNetwork.begin(fault);
                } else {
                    fleet.datagramNetwork.end(fault);
                }
            }
            case CONNECTIONS -> {
                if (step.begins()) {
                    fleet.tcpRelays.begin(fault);
                } else {
                    fleet.tcpRelays.end(fault);
                }
            }
            case PROCESSES -> {
                for (FleetProcess process : fleet.members()) {
                    if (fault.sources().matches(process) && step.begins()) {
                        fleet.begin(fault, process);
                    } else if (fault.sources().matches(process)) {
                        fleet.end(fault, process);
                    }
                }
                if (fault.kind() == InjectedFault.Kind.RESTART) {
                    // Processes are started once all are killed: a kill that waited for a start would come seconds
                    // late.
                    for (FleetProcess process : fleet.members()) {
                        if (fault.sources().matches(process)) {
                            fleet.start(process);
                        }
                    }
                }
            }
        }
    }
}
