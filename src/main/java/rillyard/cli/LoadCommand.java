package rillyard.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rillyard.demo.WarmUp;
import rillyard.ledger.Ledger;
import rillyard.ledger.LedgerHead;
import rillyard.ledger.UnixClock;
import rillyard.load.LoadPlan;
import rillyard.load.LoadPlanReader;
import rillyard.load.LoadRun;
import rillyard.load.Marks;
import rillyard.load.Report;
import rillyard.load.ReportFiles;
import rillyard.load.ReportTable;

@Command(
        name = "load",
        description = "Sends a plan's requests on its schedule, whatever the target does, and reports.",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class)
final class LoadCommand implements Callable<Integer> {
    @Option(
            names = "--target",
            required = true,
            split = ",",
            converter = Addresses.class,
            description = "Where requests go, IP:port; several are taken in turn.")
    private List<InetSocketAddress> targets;

    @Option(
            names = "--plan",
            required = true,
            description = "TOML: shapes or a trace, classes, clients, tenants, a seed.")
    private Path planFile;

    @Option(names = "--ledger", description = "Gets a line for every try.")
    private Path ledgerFile;

    @Option(names = "--report", description = "A folder that gets report.json, report.html and .hgrm files.")
    private Path report;

    @Option(names = "--marks", description = "A ledger of the hosts, whose faults the report marks.")
    private Path marks;

    @Option(names = "--json", description = "The report on standard output as JSON, with no progress.")
    private boolean json;

    @Option(names = "--cold", description = "Starts at once, with code that is not compiled yet.")
    private boolean cold;

    @Override
    public Integer call() throws Exception {
        LoadPlan plan = LoadPlanReader.read(planFile);
        if (!cold) {
            WarmUp.run();
        }
        if (report != null) {
            Files.createDirectories(report);
        }
        LedgerHead head = new LedgerHead("clients", UnixClock.micros(), plan.seed());
        Report r;
        LoadRun run;
        Ending ending;
        try (Ledger ledger = ledgerFile == null ? Ledger.none() : Ledger.open(ledgerFile, head)) {
            run = new LoadRun(plan, targets, ledger, json ? null : System.out);
            ending = new Ending(run::interrupt);
            run.run();
            r = run.report(marks == null ? List.of() : Marks.read(marks, run.startedMicros()));
        }
        if (report != null) {
            ReportFiles.write(report, r, "Load: " + planFile.getFileName());
            run.writeHistograms(report);
        }
        System.out.print(
                json
                        ? new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(r) + "\n"
                        : ReportTable.of(r));
        System.out.flush();
        ending.over();
        return r.valid() ? Cli.DONE : Cli.FAILED;
    }
}
