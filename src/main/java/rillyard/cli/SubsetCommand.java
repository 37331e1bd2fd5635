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

/** Plans the subsets of a fleet. */
@Command(
        name = "subset",
        description = "What instances of a fleet would hold of its hosts.",
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class,
        synopsisSubcommandLabel = "WHAT",
        subcommands = SubsetCommand.Plan.class)
final class SubsetCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        System.err.println("rillyard: say what of subsets: plan");
        return Cli.USAGE;
    }

    /** Computes the largest subset whose connections the hosts can bear. */
    @Command(
            name = "plan",
            description = {
                "The most hosts an instance may have so that hosts bear the connections of all, and what that",
                "comes to by each way of subsetting. Ends with 1 if even two hosts each are too much."
            },
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class)
    static final class Plan implements Callable<Integer> {
        /** Maximum number of instances times hosts; as every subset is computed, more would take too long. */
        private static final long MAX_PAIRS = 10_000_000;

        @Spec
        private CommandSpec spec;

        @Option(names = "--instances", required = true, description = "Instances of the proxy.")
        private int instances;

        @Option(names = "--hosts", required = true, description = "Hosts.")
        private int hosts;

        @Option(names = "--cap", required = true, description = "Connections that a host takes.")
        private int cap;

        @Option(
                names = "--each",
                defaultValue = "1",
                description = "Connections of an instance to a host of its subset at most (${DEFAULT-VALUE}).")
        private int each;

        @Option(
                names = "--reserve",
                defaultValue = "0.1",
                description =
                        "Part of the cap left free, for rolling restarts and subsets that widen (${DEFAULT-VALUE}).")
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
                        + " or more, both times" + " each other up to " + MAX_PAIRS
                        + ", --cap and --each of 1 or more, --reserve from 0 to below 1");
                return Cli.USAGE;
            }
            boolean anyFeasible = false;
            out.println("| way | hosts each | instances a host: least, mean, most | connections a host, most |"
                    + " neighbours alike | shared by two | moved when a host goes | when an instance comes |");
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
