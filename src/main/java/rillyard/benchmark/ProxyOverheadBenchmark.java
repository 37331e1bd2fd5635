package rillyard.benchmark;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import rillyard.childprocess.ChildProcess;
import rillyard.childprocess.LaunchCommand;
import rillyard.childprocess.ProxyProcess;

/**
 * Measures the latency and CPU time that the proxy adds to direct requests, the CPU time of the load generator, and the
 * highest rate at which one core of the generator keeps its schedule.
 */
public final class ProxyOverheadBenchmark {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String HOSTS =
            """
      [hosts]
      count = 20
      cores = 2000
      connections = 20000
      [[class]]
      name = "list"
      semantics = "idempotent"
      work = { dist = "constant", mean_ms = 2 }
      [[class]]
      name = "log"
      semantics = "deduplicated"
      work = { dist = "constant", mean_ms = 2 }
      [[class]]
      name = "claim"
      work = { dist = "constant", mean_ms = 2 }
      """;

    private final Path folder;
    private final PrintStream out;
    private int runs;

    /**
     * Creates a benchmark.
     *
     * @param folder folder for its files
     * @param out receives the results
     */
    public ProxyOverheadBenchmark(Path folder, PrintStream out) {
        this.folder = folder;
        this.out = out;
    }

    /** The results of one run of the generator: latencies in milliseconds, CPU time in microseconds per request. */
    private record Run(boolean valid, double p50, double p99, double loadMicros, double proxyMicros, double served) {}

    /**
     * Measures pairs of direct and proxied runs, alternating between the two.
     *
     * @param rates requests per second
     * @param pairs number of pairs for each rate
     * @param seconds length of each run
     * @throws Exception if a process could not be started
     */
    public void addedByProxy(int[] rates, int pairs, int seconds) throws Exception {
        try (ChildProcess hosts = hosts()) {
            Path ready = folder.resolve("ready.json");
            hosts.awaitFile(ready);
            String direct = addresses(ready);
            LaunchCommand launch =
                    LaunchCommand.self().with(List.of("@deploy/proxy.jvm")).on("1");
            try (ProxyProcess proxy =
                    ProxyProcess.launch(launch, ready, ProxyProcess.freeAddress(), folder.resolve("proxy.log"))) {
                proxy.await(ProxyProcess.State.READY);
                String proxied = "127.0.0.1:" + proxy.address().getPort();
                out.printf(
                        "%8s %5s %9s %9s %9s %9s %9s %9s %11s %11s %7s%n",
                        "rate", "pair", "direct", "", "proxied", "", "added", "", "generator", "proxy", "ratio");
                out.printf(
                        "%8s %5s %9s %9s %9s %9s %9s %9s %11s %11s %7s%n",
                        "1/s", "", "p50 ms", "p99", "p50", "p99", "p50", "p99", "us/request", "us/request", "");
                load(proxy::cpuTime, proxied, rates[rates.length - 1], seconds); // warm-up, not counted
                for (int rate : rates) {
                    measure(rate, pairs, seconds, direct, proxied, proxy::cpuTime);
                }
            }
        }
    }

    /** Runs pairs of direct and proxied load at one rate and prints each pair and the medians. */
    private void measure(int rate, int pairs, int seconds, String direct, String proxied, Supplier<Duration> proxyCpu)
            throws Exception {
        List<double[]> rows = new ArrayList<>();
        for (int pair = 1; pair <= pairs; pair++) {
            Run directRun = load(proxyCpu, direct, rate, seconds);
            Run proxiedRun = load(proxyCpu, proxied, rate, seconds);
            double[] row = row(directRun, proxiedRun);
            rows.add(row);
            print(rate, Integer.toString(pair), row, directRun.valid && proxiedRun.valid, proxiedRun.served);
        }
        print(rate, "med", medians(rows), true, 1);
    }

    private static double[] row(Run direct, Run proxied) {
        return new double[] {
            direct.p50,
            direct.p99,
            proxied.p50,
            proxied.p99,
            proxied.p50 - direct.p50,
            proxied.p99 - direct.p99,
            proxied.loadMicros,
            proxied.proxyMicros,
            proxied.loadMicros / proxied.proxyMicros
        };
    }

    private static double[] medians(List<double[]> rows) {
        double[] medians = new double[rows.get(0).length];
        for (int i = 0; i < medians.length; i++) {
            int column = i;
            double[] sorted =
                    rows.stream().mapToDouble(row -> row[column]).sorted().toArray();
            medians[i] = sorted[sorted.length / 2];
        }
        return medians;
    }

    private void print(int rate, String pair, double[] columns, boolean valid, double served) {
        out.printf(
                Locale.ROOT,
                "%8d %5s %9.3f %9.3f %9.3f %9.3f %9.3f %9.3f %11.1f %11.1f %7.2f%s%s%n",
                rate,
                pair,
                columns[0],
                columns[1],
                columns[2],
                columns[3],
                columns[4],
                columns[5],
                columns[6],
                columns[7],
                columns[8],
                valid ? "" : "  INVALID",
                served < 0.999 ? String.format(Locale.ROOT, "  only %.1f %% served", 100 * served) : "");
    }

    /**
     * Raises the rate until the generator no longer keeps its schedule.
     *
     * @param firstRate first rate in requests per second
     * @param step increment of the rate
     * @param maxRate last rate
     * @param seconds length of each run
     * @throws Exception if a process could not be started
     */
    public void highestRate(int firstRate, int step, int maxRate, int seconds) throws Exception {
        try (ChildProcess hosts = hosts()) {
            Path ready = folder.resolve("ready.json");
            hosts.awaitFile(ready);
            String direct = addresses(ready);
            out.printf("%8s %9s %9s %11s %s%n", "rate 1/s", "p50 ms", "p99", "us/request", "");
            int failures = 0;
            for (int rate = firstRate; rate <= maxRate && failures < 2; rate += step) {
                Run run = load(hosts::cpuTime, direct, rate, seconds);
                failures += run.valid ? 0 : 1;
                out.printf(
                        Locale.ROOT,
                        "%8d %9.3f %9.3f %11.1f %s%n",
                        rate,
                        run.p50,
                        run.p99,
                        run.loadMicros,
                        run.valid ? "on schedule" : "INVALID");
            }
        }
    }

    private ChildProcess hosts() throws IOException {
        Path ready = folder.resolve("ready.json");
        Files.deleteIfExists(ready);
        Path hostsFile = Files.writeString(folder.resolve("hosts.toml"), HOSTS);
        return ChildProcess.start(
                LaunchCommand.self().on("2-5"),
                folder.resolve("hosts.log"),
                null,
                "stand-in",
                "--timetable",
                hostsFile.toString(),
                "--ready-file",
                ready.toString(),
                "--threads",
                "4");
    }

    private Run load(Supplier<Duration> cpuTime, String target, int rate, int seconds)
            throws IOException, InterruptedException {
        Path plan = Files.writeString(
                folder.resolve("plan.toml"),
                "seed = " + ++runs + "\n[clients]\ncount = 100\n[[shape]]\nkind = \"poisson\"\nfor_s = " + seconds
                        + "\nrate = " + rate + "\n");
        Path reportFile = folder.resolve("run-" + runs + ".json");
        try (ChildProcess load = ChildProcess.start(
                LaunchCommand.self().with(List.of("@deploy/load.jvm")).on("0"),
                reportFile,
                null,
                "load",
                "--target",
                target,
                "--plan",
                plan.toString(),
                "--json")) {
            double cpuBefore = cpuTime.get().toNanos() / 1e3;
            load.await();
            double cpu = cpuTime.get().toNanos() / 1e3 - cpuBefore;
            JsonNode node = JSON.readTree(reportFile.toFile());
            JsonNode total = node.path("total");
            double offered = total.path("offered").asDouble();
            return new Run(
                    node.path("valid").asBoolean(),
                    total.path("latency").path("p50").asDouble(),
                    total.path("latency").path("p99").asDouble(),
                    1e6 * node.path("cpuSeconds").asDouble() / offered,
                    cpu / offered,
                    (total.path("inAim").asDouble() + total.path("late").asDouble()) / offered);
        }
    }

    private static String addresses(Path ready) throws IOException {
        List<String> addresses = new ArrayList<>();
        JSON.readTree(ready.toFile())
                .path("hosts")
                .forEach(node -> addresses.add(node.path("addr").asText()));
        return String.join(",", addresses);
    }

    /** Parses comma-separated rates, for example {@code 500,1000}. */
    public static int[] rates(String text) {
        return Arrays.stream(text.split(","))
                .mapToInt(rate -> Integer.parseInt(rate.trim()))
                .toArray();
    }
}
