package rillyard;

import java.io.IOException;
import rillyard.cli.Cli;
import rillyard.proxy.config.ConfigException;
import rillyard.proxy.lifecycle.ClassArchiveTraining;
import rillyard.proxy.lifecycle.ProxyLauncher;
import rillyard.settings.MalformedInputException;
import rillyard.simulation.SimulatorSession;

/** Entry point of the jar. */
public final class Main {
    private Main() {}

    /**
     * Runs the command that the arguments name.
     *
     * <p>{@code proxy} is a client proxy on sockets; {@code adapter} makes the same decisions for the simulator, by its
     * protocol on standard input and output. The build runs {@code rehearse}, in which the JVM records the classes that
     * a proxy loads. These three start without the command-line parser, which handles all other commands.
     */
    public static void main(String[] args) throws IOException {
        String command = args.length == 1 ? args[0] : "";
        try {
            switch (command) {
                case "proxy" -> ProxyLauncher.run(System.getenv());
                case "rehearse" -> ClassArchiveTraining.run();
                case "adapter" -> new SimulatorSession(System.in, System.out, System.err).run();
                default -> System.exit(Cli.run(args));
            }
        } catch (MalformedInputException | ConfigException e) {
            System.err.println("rillyard: " + e.getMessage());
            System.exit(1);
        }
    }
}
