package rillyard.cli;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rillyard.membership.net.FleetConfig;
import rillyard.membership.net.FleetConfigReader;
import rillyard.membership.net.FleetMember;
import rillyard.outlier.FleetOutlierSettings;
import rillyard.outlier.net.ObservationGossip;
import rillyard.proxy.dispatch.PeerGossip;
import rillyard.proxy.lifecycle.ClassArchiveTraining;
import rillyard.proxy.lifecycle.ProxyLauncher;
import rillyard.settings.MalformedInputException;
import rillyard.simulation.SimulatorSession;

/**
 * Declares the commands that the platform starts, for their help and options. Without arguments they are run before
 * the parser is loaded.
 */
final class ProxyCommands {
    private ProxyCommands() {}

    /** Runs the proxy, optionally as a member of a fleet. */
    @Command(
            name = "proxy",
            description = {
                "Runs one client proxy until SIGTERM.",
                "BALANCER_CONFIG names its configuration file (JSON); BALANCER_NAME, BALANCER_LISTEN and"
                        + " BALANCER_DISCOVERY take precedence over it. SIGHUP reloads the file."
            },
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class)
    static final class ProxyCommand implements Callable<Integer> {
        @Option(
                names = "--fleet",
                description = "TOML file of a fleet to join (docs/membership.md). Not used on the platform.")
        private Path fleet;

        @Override
        public Integer call() throws Exception {
            if (fleet == null) {
                ProxyLauncher.run(System.getenv());
                return Cli.DONE;
            }
            SecureRandom random = new SecureRandom();
            FleetConfig settings = FleetConfigReader.read(fleet, System.getenv());
            FleetMember member = new FleetMember(settings, random.nextLong(), System.err);
            PeerGossip gossip = settings.outlierGossip()
                    ? new ObservationGossip(member, FleetOutlierSettings.DEFAULT, random.nextLong())
                    : null;
            member.start();
            Runtime.getRuntime().addShutdownHook(new Thread(member::close, "leave"));
            ProxyLauncher.run(System.getenv(), gossip);
            return Cli.DONE;
        }
    }

    /** Runs a simulator session on standard input and output. */
    @Command(
            name = "adapter",
            description = "Runs the balancer for a simulator, which is connected to standard input and output.",
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class)
    static final class AdapterCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            try {
                new SimulatorSession(System.in, System.out, System.err).run();
                return Cli.DONE;
            } catch (MalformedInputException e) {
                System.err.println("rillyard: " + e.getMessage());
                return Cli.FAILED;
            }
        }
    }

    /** Runs the training for the class archive. */
    @Command(
            name = "rehearse",
            description = "Starts and warms up without other processes; the build records which classes are loaded.",
            mixinStandardHelpOptions = true,
            versionProvider = VersionProvider.class)
    static final class RehearseCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            ClassArchiveTraining.run();
            return Cli.DONE;
        }
    }
}
