package rillyard.demo;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import rillyard.audit.Audit;
import rillyard.audit.AuditSettings;
import rillyard.childprocess.ProxyProcess;
import rillyard.loadgen.LoadPlan;
import rillyard.loadgen.LoadPlanReader;
import rillyard.loadgen.LoadRun;
import rillyard.loadgen.ReportFiles;
import rillyard.loadgen.RunReport;
import rillyard.loadgen.TimelineEvents;
import rillyard.requestlog.LogHeader;
import rillyard.requestlog.RequestLogWriter;
import rillyard.requestlog.UnixClock;
import rillyard.testserver.TestCluster;
import rillyard.testserver.TestClusterPlan;
import rillyard.testserver.TestClusterPlanReader;

/** Runs a load surge through one proxy over eight hosts, one of which hangs and one of which drains. */
public final class Demo {
    private static final String FAULT_SCHEDULE =
            """
      seed = 20
      [hosts]
      count = 8
      [[fault]]
      kind = "hang"
      at_s = 6
      for_s = 5
      host = "s-2"
      [[fault]]
      kind = "drain"
      at_s = 10
      for_s = 3
      host = "s-5"
      restart_s = 2
      new_id = true
      """;

    private static final String LOAD_PLAN =
            """
      seed = 20
      [clients]
      count = 120
      impatient = 0.005
      [[shape]]
      kind = "surge"
      for_s = 20
      base = 150
      peak = 600
      at_s = 4
      rise_s = 3
      hold_s = 7
      fall_s = 3
      """;

    /**
     * The result of a demo.
     *
     * @param report report of the load generator
     * @param verdict result of the audit
     */
    public record Result(RunReport report, Audit.Verdict verdict) {}

    private final PrintStream out;
    private final String faultSchedule;
    private final String loadPlan;

    /** Creates a demo that prints its progress to {@code out}. */
    public Demo(PrintStream out) {
        this(out, FAULT_SCHEDULE, LOAD_PLAN);
    }

    Demo(PrintStream out, String faultSchedule, String loadPlan) {
        this.out = out;
        this.faultSchedule = faultSchedule;
        this.loadPlan = loadPlan;
    }

    /**
     * Runs the demo.
     *
     * @param keep folder for the request logs and the report, or null to delete them
     * @throws Exception if any part could not be started
     */
    public Result run(Path keep) throws Exception {
        Path folder = keep == null ? Files.createTempDirectory("rillyard-demo") : keep;
        Files.createDirectories(folder);
        try {
            return run(folder, out);
        } finally {
            if (keep == null) {
                delete(folder);
            }
        }
    }

    private Result run(Path folder, PrintStream progress) throws Exception {
        TestClusterPlan hosts = TestClusterPlanReader.parse("demo", faultSchedule, 0);
        LoadPlan load = LoadPlanReader.parse("demo", loadPlan, folder);
        Path clientsFile = folder.resolve("clients.jsonl");
        Path hostsFile = folder.resolve("hosts.jsonl");
        Path ready = folder.resolve("ready.json");
        progress.println("rillyard: warming up");
        JvmWarmup.run();
        long nowMicros = UnixClock.micros();
        LoadRun run;
        PrintStream messages = System.err;
        try (RequestLogWriter hostLog =
                        RequestLogWriter.open(hostsFile, new LogHeader("hosts", nowMicros, hosts.seed()));
                RequestLogWriter clientLog =
                        RequestLogWriter.open(clientsFile, new LogHeader("clients", nowMicros, load.seed()));
                TestCluster cluster = new TestCluster(
                        hosts, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 2, hostLog, messages)) {
            cluster.start();
            new ObjectMapper().writerWithDefaultPrettyPrinter().writeValue(ready.toFile(), cluster.readyFile());
            progress.println("rillyard: " + hosts.hosts().size() + " hosts started, starting the proxy");
            try (ProxyProcess proxy = ProxyProcess.start(ready, folder.resolve("proxy.log"))) {
                progress.println(
                        "rillyard: the proxy is ready at " + proxy.address().getPort() + "; the surge begins");
                run = new LoadRun(load, List.of(proxy.address()), clientLog, progress);
                cluster.startFaultSchedule();
                run.run();
            }
        }
        RunReport report = run.report(TimelineEvents.read(hostsFile, run.startedMicros()));
        ReportFiles.write(folder, report, "Demo: a surge over eight hosts");
        run.writeHistograms(folder);
        return new Result(report, Audit.of(clientsFile, hostsFile, AuditSettings.read(ready)));
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        }
    }
}
