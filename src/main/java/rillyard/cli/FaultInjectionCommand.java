package rillyard.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rillyard.childprocess.LaunchCommand;
import rillyard.faultinjection.FaultInjectionPlanReader;
import rillyard.faultinjection.FaultInjectionResult;
import rillyard.faultinjection.FaultInjectionRun;
import rillyard.faultinjection.RandomFaultSchedule;

/** Runs fault-injection plans. */
@Command(
        name = "trial",
        description = "Starts many processes of this program and injects faults between them.",
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class,
        synopsisSubcommandLabel = "WHAT",
        subcommands = FaultInjectionCommand.Run.class)
final class FaultInjectionCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        System.err.println("rillyard: missing subcommand, expected run");
        return Cli.USAGE;
    }

    /** Executes a plan, with additional random faults on request. */
    @Command(
            name = "run",
            description = {
                "Runs a plan and reports the membership views of its processes and the results of its clients",
                "(docs/trials.md). Exits with 1 if a reachable process was declared dead, if the surviving processes",
                "do not agree at the end, or if a rule of the proxies was broken."
            },
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class)
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "PLAN", description = "TOML file: processes, zones, and faults by their times.")
        private Path plan;

        @Option(names = "--out", required = true, description = "New folder for logs, histories and the report.")
        private Path out;

        @Option(
                names = "--build",
                defaultValue = ".",
                description = "Folder that contains deploy/ and target/ of the build to start (${DEFAULT-VALUE}).")
        private Path build;

        @Option(
                names = "--nemesis",
                split = ",",
                description = "Adds random faults to those of the plan: ${COMPLETION-CANDIDATES}.")
        private Set<RandomFaultSchedule.Kind> nemesis = Set.of();

        @Option(names = "--seed", defaultValue = "1", description = "Seed of the random faults (${DEFAULT-VALUE}).")
        private long seed;

        @Override
        public Integer call() throws Exception {
            var faultPlan = FaultInjectionPlanReader.read(plan);
            if (Files.exists(out)) {
                System.err.println("rillyard: " + out + " already exists, expected a new folder");
                return Cli.USAGE;
            }
            if (!Files.exists(build.resolve("deploy/proxy.jvm"))
                    || !Files.exists(build.resolve("target/rillyard.jar"))) {
                System.err.println("rillyard: no deploy/proxy.jvm or no target/rillyard.jar in " + build
                        + ", expected the folder of a build");
                return Cli.USAGE;
            }
            if (!nemesis.isEmpty()) {
                System.out.println("random faults with seed " + seed);
                faultPlan = faultPlan.withFaults(RandomFaultSchedule.draw(faultPlan, nemesis, seed));
            }
            FaultInjectionResult result = new FaultInjectionRun(faultPlan, out, System.out)
                    .run(LaunchCommand.platform(build.toAbsolutePath()));
            String report = result.report();
            Files.writeString(out.resolve("report.txt"), report);
            System.out.print(report);
            return result.isClean() ? Cli.DONE : Cli.FAILED;
        }
    }
}
