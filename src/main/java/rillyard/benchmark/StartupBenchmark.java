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

/** Measures starts of several builds in turn, from exec to the first thousand responses. */
public final class StartupBenchmark {
    private static final String CORE = "1";
    private static final int[] REQUEST_COUNTS = {1, 10, 100, 1_000};
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

    /**
     * Creates a benchmark.
     *
     * @param folder folder for its files
     * @param out receives the results
     */
    public StartupBenchmark(Path folder, PrintStream out) {
        this.folder = folder;
        this.out = out;
    }

    /**
     * Starts each build several times, alternating between the builds.
     *
     * @param builds folders that contain {@code deploy} and {@code target} of each build, by name
     * @param options additional JVM options for all builds
     * @param starts number of starts of each build
     * @param share share of a core that the proxy gets, above 0 and up to 1
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
                for (Map.Entry<String, Path> build : builds.entrySet()) {
                    try (CpuContention contention = new CpuContention(CORE, share)) {
                        contention.checkRunning();
                        LaunchCommand launch = LaunchCommand.platform(
                                        build.getValue().toAbsolutePath())
                                .on(CORE)
                                .with(options);
                        StartupRun run = StartupRun.of(launch, config.toAbsolutePath(), plan, folder);
                        runs.computeIfAbsent(build.getKey(), k -> new ArrayList<>())
                                .add(run);
                        printRun(build.getKey(), i + 1, run);
                    }
                }
            }
        }
        runs.forEach(this::printSummary);
    }

    private void printRun(String build, int number, StartupRun run) {
        out.printf(
                Locale.ROOT,
                "%-8s %2d  listening %5.0f/%4.0f ms  ready %5.0f/%4.0f ms  %3d MB  first %s ms%n",
                build,
                number,
                run.listening().wallMillis(),
                run.listening().cpuMillis(),
                run.ready().wallMillis(),
                run.ready().cpuMillis(),
                run.residentKib() >> 10,
                formatLatencies(count -> run.latency(count, 0.99)));
    }

    private static String formatLatencies(ToDoubleFunction<Integer> latency) {
        StringBuilder text = new StringBuilder();
        for (int count : REQUEST_COUNTS) {
            text.append(String.format(Locale.ROOT, " %d: %.0f", count, latency.applyAsDouble(count)));
        }
        return text.toString();
    }

    private void printSummary(String build, List<StartupRun> runs) {
        out.printf("%n%s, %d starts: least, median, greatest%n", build, runs.size());
        printRow("exec to listening, wall ms", runs, run -> run.listening().wallMillis());
        printRow("exec to listening, CPU ms", runs, run -> run.listening().cpuMillis());
        printRow("exec to ready, wall ms", runs, run -> run.ready().wallMillis());
        printRow("exec to ready, CPU ms", runs, run -> run.ready().cpuMillis());
        for (String mark : runs.get(0).marks().keySet()) {
            printRow("  mark " + mark + ", wall ms", runs, run -> run.marks()
                    .get(mark)
                    .wallMillis());
            printRow("  mark " + mark + ", CPU ms", runs, run -> run.marks()
                    .get(mark)
                    .cpuMillis());
        }
        printRow("resident when ready, MB", runs, run -> run.residentKib() / 1024.0);
        for (int count : REQUEST_COUNTS) {
            printRow("p50 of the first " + count + ", ms", runs, run -> run.latency(count, 0.5));
            printRow("p99 of the first " + count + ", ms", runs, run -> run.latency(count, 0.99));
        }
        printRow("CPU a request after ready, us", runs, run -> 1e3 * run.loadCpuMillis() / run.latencies().length);
    }

    private void printRow(String label, List<StartupRun> runs, ToDoubleFunction<StartupRun> metric) {
        double[] sorted = runs.stream().mapToDouble(metric).sorted().toArray();
        out.printf(
                Locale.ROOT,
                "  %-32s %8.1f %8.1f %8.1f%n",
                label,
                sorted[0],
                sorted[sorted.length / 2],
                sorted[sorted.length - 1]);
    }
}
