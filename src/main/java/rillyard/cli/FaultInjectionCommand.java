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
        description = "Starts many processes of this program, with faults between them.",
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class,
        synopsisSubcommandLabel = "WHAT",
        subcommands = FaultInjectionCommand.Run.class)
final class FaultInjectionCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        System.err.println("rillyard: say what of trials: run");
        return Cli.USAGE;
    }

    /** Executes a plan, with random faults on request. */
    @Command(
            name = "run",
            description = {
                "Runs a plan and tells what the processes believed and what clients were served (docs/trials.md). Ends with 1",
                "if a process that could be heard was held dead, if those that live don't agree in the end, or if a",
                "rule of the proxies was broken."
            },
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class)
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "PLAN", description = "TOML: processes, zones, and faults by their times.")
        private Path plan;

        @Option(names = "--out", required = true, description = "A new folder for logs, histories and the report.")
        private Path out;

        @Option(
                names = "--build",
                defaultValue = ".",
                description = "The folder that holds deploy and target of the build to start (${DEFAULT-VALUE}).")
        private Path build;

        @Option(
                names = "--nemesis",
                split = ",",
                description = "Draws faults besides those of the plan: ${COMPLETION-CANDIDATES}.")
        private Set<RandomFaultSchedule.Kind> nemesis = Set.of();

        @Option(names = "--seed", defaultValue = "1", description = "What they are drawn from (${DEFAULT-VALUE}).")
        private long seed;

        @Override
        public Integer call() throws Exception {
            var faultPlan = FaultInjectionPlanReader.read(plan);
            if (Files.exists(out)) {
                System.err.println("rillyard: " + out + " is there already, expected a new folder");
                return Cli.USAGE;
            }
            if (!Files.exists(build.resolve("deploy/proxy.jvm"))
                    || !Files.exists(build.resolve("target/rillyard.jar"))) {
                System.err.println("rillyard: no deploy/proxy.jvm and target/rillyard.jar in " + build
                        + ", expected a build there");
                return Cli.USAGE;
            }
            if (!nemesis.isEmpty()) {
                System.out.println("nemesis of seed " + seed);
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
