package rillyard.cli;

import java.io.PrintWriter;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import rillyard.subset.SubsetSize;
import rillyard.subset.SubsetStatistics;
import rillyard.subset.SubsettingAlgorithm;

/** Groups the commands for the subsets of a fleet. */
@Command(
        name = "subset",
        description = "Computes which part of a fleet's hosts each instance uses.",
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class,
        synopsisSubcommandLabel = "WHAT",
        subcommands = SubsetCommand.Plan.class)
final class SubsetCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        System.err.println("rillyard: missing subcommand, expected plan");
        return Cli.USAGE;
    }

    /** Computes the largest subset size that keeps the hosts within their connection limit. */
    @Command(
            name = "plan",
            description = {
                "Computes the largest subset of an instance that keeps all hosts within their connection limit, with",
                "statistics of each subsetting algorithm. Exits with 1 if even two hosts per instance are too many."
            },
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class)
    static final class Plan implements Callable<Integer> {
        /** Maximum number of instances times hosts; a higher number takes too long, as every subset is computed. */
        private static final long MAX_PAIRS = 10_000_000;

        @Spec
        private CommandSpec spec;

        @Option(names = "--instances", required = true, description = "Number of proxy instances.")
        private int instances;

        @Option(names = "--hosts", required = true, description = "Number of hosts.")
        private int hosts;

        @Option(names = "--cap", required = true, description = "Maximum number of connections per host.")
        private int cap;

        @Option(
                names = "--each",
                defaultValue = "1",
                description = "Maximum connections from an instance to a host of its subset (${DEFAULT-VALUE}).")
        private int each;

        @Option(
                names = "--reserve",
                defaultValue = "0.1",
                description = "Share of the cap kept free for rolling restarts and growing subsets (${DEFAULT-VALUE}).")
        private double reserve;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            if (instances < 1
                    || hosts < SubsetSize.MIN_HOSTS
                    || (long) instances * hosts > MAX_PAIRS
                    || cap < 1
                    || each < 1
                    || !(reserve >= 0 && reserve < 1)) {
                err.println("rillyard: expected --instances of 1 or more, --hosts of " + SubsetSize.MIN_HOSTS
                        + " or more, their product up to " + MAX_PAIRS
                        + ", --cap and --each of 1 or more, --reserve from 0 to below 1");
                return Cli.USAGE;
            }
            boolean anyFeasible = false;
            out.println("| algorithm | subset size | instances per host: min, mean, max | connections per host, max |"
                    + " identical neighbours | shared by two | moves per host removed | per instance added |");
            out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
            for (SubsettingAlgorithm algorithm : SubsettingAlgorithm.values()) {
                try {
                    SubsetSize size = SubsetSize.largest(algorithm, instances, hosts, cap, each, reserve);
                    printRow(out, algorithm, size, SubsetStatistics.of(algorithm, instances, hosts, size.hosts()));
                    anyFeasible = true;
                } catch (SubsetSize.TooManyConnectionsException e) {
                    out.println("| " + algorithm.optionName() + " | none: " + e.getMessage() + " | | | | | | |");
                }
            }
            return anyFeasible ? Cli.DONE : Cli.FAILED;
        }

        private void printRow(
                PrintWriter out, SubsettingAlgorithm algorithm, SubsetSize size, SubsetStatistics statistics) {
            out.println(String.format(
                    Locale.ROOT,
                    "| %s | %d | %d, %.0f, %d | %d of %d | %d | %.2f | %.2f | %.2f |",
                    algorithm.optionName(),
                    size.hosts(),
                    statistics.minInstances(),
                    statistics.meanInstances(),
                    statistics.maxInstances(),
                    size.maxConnections(),
                    cap,
                    statistics.identicalNeighbours(),
                    statistics.meanSharedHosts(),
                    statistics.movesPerHostRemoved(),
                    statistics.movesPerInstanceAdded()));
        }
    }
}
