package rillyard.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rillyard.demo.JvmWarmup;
import rillyard.loadgen.LoadPlan;
import rillyard.loadgen.LoadPlanReader;
import rillyard.loadgen.LoadRun;
import rillyard.loadgen.ReportFiles;
import rillyard.loadgen.ReportTable;
import rillyard.loadgen.RunReport;
import rillyard.loadgen.TimelineEvents;
import rillyard.requestlog.LogHeader;
import rillyard.requestlog.RequestLogWriter;
import rillyard.requestlog.UnixClock;

/** Runs the load generator. */
@Command(
        name = "load",
        description = "Sends the requests of a plan on schedule, whatever the target does, and prints a report.",
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class)
final class LoadCommand implements Callable<Integer> {
    @Option(
            names = "--target",
            required = true,
            split = ",",
            converter = SocketAddressConverter.class,
            description = "Target of the requests, IP:port; several, separated by commas, are used in turn.")
    private List<InetSocketAddress> targets;

    @Option(
            names = "--plan",
            required = true,
            description = "TOML file: load shapes or a trace, classes, clients, tenants and a seed.")
    private Path planFile;

    @Option(names = "--ledger", description = "Request log to write, with one line per attempt.")
    private Path logFile;

    @Option(names = "--report", description = "Folder to which report.json, report.html and .hgrm files are written.")
    private Path report;

    @Option(names = "--marks", description = "Request log of the hosts; the report marks the faults in it.")
    private Path marks;

    @Option(names = "--json", description = "Prints the report on standard output as JSON, without progress.")
    private boolean json;

    @Option(names = "--cold", description = "Starts without warm-up, with code that is not compiled yet.")
    private boolean cold;

    @Override
    public Integer call() throws Exception {
        LoadPlan plan = LoadPlanReader.read(planFile);
        if (!cold) {
            JvmWarmup.run();
        }
        if (report != null) {
            Files.createDirectories(report);
        }
        LogHeader header = new LogHeader("clients", UnixClock.micros(), plan.seed());
        RunReport runReport;
        LoadRun run;
        GracefulShutdown shutdown;
        try (RequestLogWriter requestLog =
                logFile == null ? RequestLogWriter.disabled() : RequestLogWriter.open(logFile, header)) {
            run = new LoadRun(plan, targets, requestLog, json ? null : System.out);
            shutdown = new GracefulShutdown(run::interrupt);
            run.run();
            runReport = run.report(marks == null ? List.of() : TimelineEvents.read(marks, run.startedMicros()));
        }
        if (report != null) {
            ReportFiles.write(report, runReport, "Load: " + planFile.getFileName());
            run.writeHistograms(report);
        }
        System.out.print(
                json
                        ? new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(runReport) + "\n"
                        : ReportTable.of(runReport));
        System.out.flush();
        shutdown.complete();
        return runReport.valid() ? Cli.DONE : Cli.FAILED;
    }
}
