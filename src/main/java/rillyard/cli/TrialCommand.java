package rillyard.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import rillyard.process.Launch;
import rillyard.trial.Trial;
import rillyard.trial.TrialPlanReader;
import rillyard.trial.TrialResult;

@Command(
    name = "trial",
    description = "Starts many processes of this program, with faults between them.",
    mixinStandardHelpOptions = true,
    versionProvider = Version.class,
    synopsisSubcommandLabel = "WHAT",
    subcommands = TrialCommand.Run.class)
final class TrialCommand implements Callable<Integer> {
  @Override
  public Integer call() {
    System.err.println("rillyard: say what of trials: run");
    return Cli.USAGE;
  }

  @Command(
      name = "run",
      description = {
        "Runs a plan and tells what the processes believed of each other (docs/membership.md). Ends with 1",
        "if a process that could be heard was held dead, or if those that live don't agree in the end."
      },
      mixinStandardHelpOptions = true,
      versionProvider = Version.class)
  static final class Run implements Callable<Integer> {
    @Parameters(paramLabel = "PLAN", description = "TOML: processes, zones, and faults by their times.")
    private Path plan;

    @Option(names = "--out", required = true, description = "A new folder for logs, histories and the report.")
    private Path out;

    @Option(names = "--build", defaultValue = ".",
        description = "The folder that holds deploy and target of the build to start (${DEFAULT-VALUE}).")
    private Path build;

    @Override
    public Integer call() throws Exception {
      var read = TrialPlanReader.read(plan);
      if (Files.exists(out)) {
        System.err.println("rillyard: " + out + " is there already, expected a new folder");
        return Cli.USAGE;
      }
      TrialResult result = new Trial(read, out, System.out).run(Launch.platform(build.toAbsolutePath()));
      String report = result.report();
      Files.writeString(out.resolve("report.txt"), report);
      System.out.print(report);
      return result.falseDeaths().isEmpty() && !Double.isNaN(result.agreedSeconds()) ? Cli.DONE : Cli.FAILED;
    }
  }
}
