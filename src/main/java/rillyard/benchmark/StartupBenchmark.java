package rillyard.benchmark;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import rillyard.childprocess.LaunchCommand;
import rillyard.demo.JvmWarmup;
import rillyard.loadgen.LoadPlan;
import rillyard.loadgen.LoadPlanReader;
import rillyard.requestlog.RequestLogWriter;
import rillyard.testserver.TestCluster;
import rillyard.testserver.TestClusterPlanReader;

/** What a start costs, from exec to the first thousand answers, in turn for several builds. */
public final class StartupBenchmark {
    private static final String CORE = "1";
    private static final int[] FIRST = {1, 10, 100, 1_000};
    private static final String HOSTS =
            """
      [hosts]
      count = 12
      cores = 200
      [[class]]
      name = "log"
      semantics = "deduplicated"
      work = { dist = "constant", mean_ms = 5 }
      [[class]]
      name = "claim"
      work = { dist = "constant", mean_ms = 5 }
      """;

    private static final String PLAN =
            """
      seed = 7
      [clients]
      count = 60
      [[shape]]
      kind = "poisson"
      for_s = 4
      rate = 300
      """;

    private final Path folder;
    private final PrintStream out;

    /** Files go to the folder, values to {@code out}. */
    public StartupBenchmark(Path folder, PrintStream out) {
        this.folder = folder;
        this.out = out;
    }

    /**
     * Starts each build so often, in turn.
     *
     * @param builds names, and the folders that hold {@code deploy} and {@code target} of each
     * @param options of the JVM, further ones for all
     * @param share part of a core that the proxy is to have
     * @throws Exception if a process could not be started
     */
    public void run(Map<String, Path> builds, List<String> options, int starts, double share) throws Exception {
        LoadPlan plan = LoadPlanReader.parse("starts", PLAN, folder);
        Map<String, List<StartupRun>> runs = new LinkedHashMap<>();
        JvmWarmup.run();
        PrintStream hostLog = System.err;
        try (TestCluster hosts = new TestCluster(
                TestClusterPlanReader.parse("starts", HOSTS, 0),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                2,
                RequestLogWriter.disabled(),
                hostLog)) {
            hosts.start();
            Path config = folder.resolve("ready.json");
            new ObjectMapper().writeValue(config.toFile(), hosts.readyFile());
            for (int i = 0; i < starts; i++) {
                for (Map.Entry<String, Path> b : builds.entrySet()) {
                    try (CpuContention neighbours = new CpuContention(CORE, share)) {
                        neighbours.checkRunning();
                        LaunchCommand launch = LaunchCommand.platform(
                                        b.getValue().toAbsolutePath())
                                .on(CORE)
                                .with(options);
                        StartupRun run = StartupRun.of(launch, config.toAbsolutePath(), plan, folder);
                        runs.computeIfAbsent(b.getKey(), k -> new ArrayList<>()).add(run);
                        line(b.getKey(), i + 1, run);
                    }
                }
            }
        }
        runs.forEach(this::summary);
    }

    private void line(String build, int number, StartupRun run) {
        out.printf(
                Locale.ROOT,
                "%-8s %2d  listening %5.0f/%4.0f ms  ready %5.0f/%4.0f ms  %3d MB  first %s ms%n",
                build,
                number,
                run.listening().wall(),
                run.listening().cpu(),
                run.ready().wall(),
                run.ready().cpu(),
                run.resident() >> 10,
                latencies(n -> run.latency(n, 0.99)));
    }

    private static String latencies(ToDoubleFunction<Integer> of) {
        StringBuilder out = new StringBuilder();
        for (int n : FIRST) {
            out.append(String.format(Locale.ROOT, " %d: %.0f", n, of.applyAsDouble(n)));
        }
        return out.toString();
    }

    private void summary(String build, List<StartupRun> all) {
        out.printf("%n%s, %d starts: least, median, greatest%n", build, all.size());
        row("exec to listening, wall ms", all, run -> run.listening().wall());
        row("exec to listening, CPU ms", all, startupRun -> startupRun
                .listening()
                .cpu());
        row("exec to ready, wall ms", all, r -> r.ready().wall());
        row("exec to ready, CPU ms", all, r -> r.ready().cpu());
        for (String mark : all.get(0).marks().keySet()) {
            row("  mark " + mark + ", wall ms", all, r -> r.marks().get(mark).wall());
            row("  mark " + mark + ", CPU ms", all, r -> r.marks().get(mark).cpu());
        }
        row("resident when ready, MB", all, r -> r.resident() / 1024.0);
        for (int n : FIRST) {
            row("p50 of the first " + n + ", ms", all, r -> r.latency(n, 0.5));
            row("p99 of the first " + n + ", ms", all, r -> r.latency(n, 0.99));
        }
        row("CPU a request after ready, us", all, r -> 1e3 * r.loadCpu() / r.latencies().length);
    }

    private void row(String what, List<StartupRun> all, ToDoubleFunction<StartupRun> of) {
        double[] v = all.stream().mapToDouble(of).sorted().toArray();
        out.printf(Locale.ROOT, "  %-32s %8.1f %8.1f %8.1f%n", what, v[0], v[v.length / 2], v[v.length - 1]);
    }
}
