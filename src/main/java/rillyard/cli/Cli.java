package rillyard.cli;

import java.io.PrintWriter;
import java.nio.charset.Charset;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import rillyard.config.InvalidConfigException;

/** Parses command lines: the root command, with {@code --help} and {@code --version} on each subcommand. */
@Command(
        name = "rillyard",
        description = "A client-side load-balancing proxy, with test servers, a load generator and an audit.",
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            ProxyCommands.ProxyCommand.class,
            ProxyCommands.AdapterCommand.class,
            ProxyCommands.RehearseCommand.class,
            TestClusterCommand.class,
            LoadCommand.class,
            AuditCommand.class,
            DemoCommand.class,
            BenchmarkCommand.class,
            SubsetCommand.class,
            FleetCommand.class,
            MembersCommand.class,
            FaultInjectionCommand.class,
            HelpCommand.class
        })
public final class Cli {
    /** Exit code for success. */
    public static final int DONE = 0;

    /** Exit code for a command that failed. */
    public static final int FAILED = 1;

    /** Exit code for an invalid command, option or file; nothing was started. */
    public static final int USAGE = 2;

    private Cli() {}

    /** Runs a command line and returns the exit code. */
    public static int run(String... args) {
        Charset charset = Charset.defaultCharset();
        return run(new PrintWriter(System.out, true, charset), new PrintWriter(System.err, true, charset), args);
    }

    /** Runs a command line with help and errors written to the given writers, and returns the exit code. */
    public static int run(PrintWriter out, PrintWriter err, String... args) {
        CommandLine commandLine = new CommandLine(new Cli());
        commandLine.setOut(out);
        commandLine.setErr(err);
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setExecutionExceptionHandler((exception, command, result) -> {
            if (exception instanceof InvalidConfigException) {
                err.println(exception.getMessage());
                return USAGE;
            }
            err.println(
                    "rillyard: " + (exception.getMessage() == null ? exception.toString() : exception.getMessage()));
            return FAILED;
        });
        if (args.length == 0) {
            commandLine.usage(err);
            return USAGE;
        }
        return commandLine.execute(args);
    }
}
