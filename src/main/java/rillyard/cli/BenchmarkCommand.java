package rillyard.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rillyard.benchmark.FleetTraceStatistics;
import rillyard.benchmark.ProxyOverheadBenchmark;
import rillyard.benchmark.StartupBenchmark;

/** Runs the benchmarks. */
@Command(
        name = "measure",
        description = "Repeats the measurements of docs/PERFORMANCE.md on this machine.",
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class,
        synopsisSubcommandLabel = "WHAT",
        subcommands = {
            BenchmarkCommand.Proxy.class,
            BenchmarkCommand.Generator.class,
            BenchmarkCommand.Start.class,
            BenchmarkCommand.Fleet.class
        })
final class BenchmarkCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        System.err.println("rillyard: missing subcommand, expected proxy, generator, start or fleet");
        return Cli.USAGE;
    }

    /** Measures the latency and CPU time that the proxy adds. */
    @Command(
            name = "proxy",
            description = "Measures the latency and the CPU time per request that the proxy adds, in alternating runs.",
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class)
    static final class Proxy implements Callable<Integer> {
        @Option(
                names = "--rates",
                defaultValue = "500,1000,2000",
                description = "Request rates per second, separated by commas (${DEFAULT-VALUE}).")
        private String rates;

        @Option(
                names = "--pairs",
                defaultValue = "5",
                description = "Pairs of runs, without and with the proxy (${DEFAULT-VALUE}).")
        private int pairs;

        @Option(names = "--seconds", defaultValue = "5", description = "Length of a run in seconds (${DEFAULT-VALUE}).")
        private int seconds;

        @Override
        public Integer call() throws Exception {
            Path folder = Files.createTempDirectory("rillyard-measure");
            new ProxyOverheadBenchmark(folder, System.out)
                    .addedByProxy(ProxyOverheadBenchmark.rates(rates), pairs, seconds);
            return Cli.DONE;
        }
    }

    /** Measures the start of one or two builds. */
    @Command(
            name = "start",
            description = "Measures starts: wall and CPU time to each mark, and the latency of the first requests.",
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class)
    static final class Start implements Callable<Integer> {
        @Option(
                names = "--starts",
                defaultValue = "10",
                description = "Number of starts of each build (${DEFAULT-VALUE}).")
        private int starts;

        @Option(
                names = "--cores",
                defaultValue = "1",
                description = "Share of a core for the proxy; busy processes use the rest (${DEFAULT-VALUE}).")
        private double cores;

        @Option(
                names = "--root",
                defaultValue = ".",
                description = "Folder that contains deploy/ and target/ (${DEFAULT-VALUE}).")
        private Path root;

        @Option(
                names = "--against",
                paramLabel = "ROOT",
                description = "Such a folder of another build, started alternately.")
        private Path against;

        @Option(names = "--option", paramLabel = "OPTION", description = "An additional JVM option for all starts.")
        private List<String> options = List.of();

        @Override
        public Integer call() throws Exception {
            if (starts < 1 || cores <= 0 || cores > 1) {
                System.err.println("rillyard: expected --starts of 1 or more and --cores above 0, up to 1");
                return Cli.USAGE;
            }
            Map<String, Path> builds = new LinkedHashMap<>();
            builds.put("this", root);
            if (against != null) {
                builds.put("against", against);
            }
            for (Path build : builds.values()) {
                if (!Files.exists(build.resolve("target/rillyard.jar"))) {
                    System.err.println("rillyard: " + build + ": expected a build, with target/rillyard.jar");
                    return Cli.USAGE;
                }
            }
            Path folder = Files.createTempDirectory("rillyard-measure");
            new StartupBenchmark(folder, System.out).run(builds, options, starts, cores);
            return Cli.DONE;
        }
    }

    /** Computes statistics of a fleet from the traces of its proxies. */
    @Command(
            name = "fleet",
            description = {
                "Computes statistics of the load that the proxies of a whole fleet put on hosts and discovery.",
                "Reads the proxies' logs, written with -Drillyard.trace=true, one file per proxy."
            },
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class)
    static final class Fleet implements Callable<Integer> {
        @Option(
                names = "--window",
                defaultValue = "2500",
                description = "Length of a row of the timetable in ms (${DEFAULT-VALUE}).")
        private int window;

        @Option(
                names = "--cold-window",
                defaultValue = "1500",
                description = "Window in ms in which the work of a warming-up host is summed (${DEFAULT-VALUE}).")
        private int coldWindow;

        @Parameters(arity = "1..*", paramLabel = "LOG", description = "Standard error output of one proxy.")
        private List<Path> logs;

        @Override
        public Integer call() throws Exception {
            if (window < 1 || coldWindow < 1) {
                System.err.println("rillyard: expected --window and --cold-window of 1 ms or more");
                return Cli.USAGE;
            }
            FleetTraceStatistics statistics = new FleetTraceStatistics(window, coldWindow);
            for (Path log : logs) {
                if (!Files.isRegularFile(log) || !Files.isReadable(log)) {
                    System.err.println("rillyard: " + log + ": expected a log that can be read");
                    return Cli.USAGE;
                }
            }
            for (Path log : logs) {
                // Logs contain what peers sent: a strict reader would fail at a byte that is not UTF-8.
                try (BufferedReader reader =
                        new BufferedReader(new InputStreamReader(Files.newInputStream(log), UTF_8))) {
                    statistics.read(
                            log.toAbsolutePath().normalize().toString(),
                            reader); // file names are often the same on all machines
                }
            }
            if (statistics.isEmpty()) {
                System.err.println("rillyard: no trace in these logs: expected proxies run with -Drillyard.trace=true");
                return Cli.FAILED;
            }
            statistics.print(System.out);
            return Cli.DONE;
        }
    }

    /** Measures the highest rate of the load generator. */
    @Command(
            name = "generator",
            description = "Measures the highest rate at which the load generator keeps its schedule on one core.",
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class)
    static final class Generator implements Callable<Integer> {
        @Option(
                names = "--from",
                defaultValue = "5000",
                description = "First rate, requests per second (${DEFAULT-VALUE}).")
        private int from;

        @Option(
                names = "--step",
                defaultValue = "5000",
                description = "Increase of the rate from run to run (${DEFAULT-VALUE}).")
        private int step;

        @Option(
                names = "--most",
                defaultValue = "100000",
                description = "Last rate, requests per second (${DEFAULT-VALUE}).")
        private int most;

        @Option(names = "--seconds", defaultValue = "5", description = "Length of a run in seconds (${DEFAULT-VALUE}).")
        private int seconds;

        @Override
        public Integer call() throws Exception {
            Path folder = Files.createTempDirectory("rillyard-measure");
            new ProxyOverheadBenchmark(folder, System.out).highestRate(from, step, most, seconds);
            return Cli.DONE;
        }
    }
}
