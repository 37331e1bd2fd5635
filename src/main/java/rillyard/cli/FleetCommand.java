package rillyard.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import rillyard.membership.net.FleetConfig;
import rillyard.membership.net.FleetConfigReader;

/** Groups the commands for the settings of a fleet. */
@Command(
        name = "fleet",
        description = "Settings of the processes that form a fleet.",
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class,
        synopsisSubcommandLabel = "WHAT",
        subcommands = FleetCommand.Check.class)
final class FleetCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        System.err.println("rillyard: missing subcommand, expected check");
        return Cli.USAGE;
    }

    /** Checks the settings of one process. */
    @Command(
            name = "check",
            description = "Validates a file as `proxy --fleet` does, and reports all of its problems by line.",
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class)
    static final class Check implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "TOML file, such as deploy/fleet.toml.")
        private Path file;

        @Override
        public Integer call() throws Exception {
            FleetConfig config = FleetConfigReader.read(file, System.getenv());
            PrintWriter out = spec.commandLine().getOut();
            out.println(config.identity().name() + " at " + config.identity().address() + ", zone "
                    + config.identity().zone() + ", region " + config.identity().region() + ", "
                    + config.seeds().size() + " seeds");
            return Cli.DONE;
        }
    }
}
