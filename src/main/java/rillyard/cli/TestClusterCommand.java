package rillyard.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import rillyard.demo.JvmWarmup;
import rillyard.requestlog.LogHeader;
import rillyard.requestlog.RequestLogWriter;
import rillyard.requestlog.UnixClock;
import rillyard.testserver.TestCluster;
import rillyard.testserver.TestClusterPlan;
import rillyard.testserver.TestClusterPlanReader;

/** Runs a test cluster: test hosts and discovery. */
@Command(
        name = "stand-in",
        description = "Runs test hosts and a test discovery until SIGINT or SIGTERM.",
        mixinStandardHelpOptions = true,
        versionProvider = VersionProvider.class)
final class TestClusterCommand implements Callable<Integer> {
    @Option(names = "--hosts", description = "Number of hosts if the timetable names none (8).")
    private int hosts;

    @Option(
            names = "--listen",
            converter = SocketAddressConverter.class,
            defaultValue = "127.0.0.1:0",
            description = "Address of discovery, IP:port; hosts use free ports of the same IP (${DEFAULT-VALUE}).")
    private InetSocketAddress listen;

    @Option(
            names = "--ready-file",
            description = "File written when all servers listen: a proxy's configuration and all addresses.")
    private Path readyFile;

    @Option(names = "--ledger", description = "Request log to write, with one line per request that a host receives.")
    private Path logFile;

    @Option(names = "--timetable", description = "TOML file: hosts, classes, rules, and faults by their times.")
    private Path timetable;

    @Option(
            names = "--threads",
            defaultValue = "2",
            description = "Number of event loops for the hosts (${DEFAULT-VALUE}).")
    private int threads;

    @Option(names = "--cold", description = "Starts without warm-up, with code that is not compiled yet.")
    private boolean cold;

    @Override
    public Integer call() throws Exception {
        if (hosts < 0 || hosts > 10_000 || threads < 1 || threads > 256) {
            System.err.println("rillyard: expected --hosts from 1 to 10000 and --threads from 1 to 256");
            return Cli.USAGE;
        }
        TestClusterPlan plan = timetable == null
                ? TestClusterPlanReader.standard(hosts == 0 ? 8 : hosts)
                : TestClusterPlanReader.read(timetable, hosts);
        if (!cold) {
            JvmWarmup.run();
        }
        CountDownLatch stopSignal = new CountDownLatch(1);
        GracefulShutdown shutdown = new GracefulShutdown(stopSignal::countDown);
        LogHeader header = new LogHeader("hosts", UnixClock.micros(), plan.seed());
        PrintStream hostLog = System.err;
        try (RequestLogWriter requestLog =
                        logFile == null ? RequestLogWriter.disabled() : RequestLogWriter.open(logFile, header);
                TestCluster cluster = new TestCluster(plan, listen, threads, requestLog, hostLog)) {
            cluster.start();
            cluster.startFaultSchedule();
            if (readyFile != null) {
                writeAtomically(
                        readyFile,
                        new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsBytes(cluster.readyFile()));
            }
            System.out.println(
                    "rillyard: " + plan.hosts().size() + " hosts, discovery at " + format(cluster.discoveryAddress())
                            + ", faults at http://" + format(cluster.controlAddress()) + "/faults");
            while (!stopSignal.await(1, TimeUnit.SECONDS)) {
                requestLog.flush();
            }
        }
        shutdown.complete();
        return Cli.DONE;
    }

    /** Writes a file atomically, so that no reader finds it incomplete. */
    private static void writeAtomically(Path file, byte[] bytes) throws IOException {
        Path partFile = file.resolveSibling(file.getFileName() + ".part");
        Files.write(partFile, bytes);
        Files.move(partFile, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    private static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
