package rillyard.faultinjection;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import rillyard.childprocess.ChildProcess;
import rillyard.childprocess.LaunchCommand;
import rillyard.requestlog.RequestLogWriter;
import rillyard.testserver.TestCluster;

/**
 * The processes of a fault-injection run with what they need: test hosts, a folder, addresses, and relays in front of
 * each process's peers and hosts.
 */
final class ProcessFleet implements AutoCloseable {
    /** Number of processes that the others use as seeds to join the fleet. */
    private static final int SEED_COUNT = 3;

    /**
     * First port for the processes: below the ephemeral range of Linux (from 32,768), which relays and connections use.
     */
    private static final int FIRST_PORT = 20_000;

    private static final int LAST_PORT = 30_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final FaultInjectionPlan plan;
    private final Path folder;
    private final LaunchCommand launch;
    private final List<FleetProcess> members;
    private final List<InetSocketAddress> gossipAddresses = new ArrayList<>();
    private final List<InetSocketAddress> adminAddresses = new ArrayList<>();
    private final List<InetSocketAddress> proxyAddresses = new ArrayList<>();
    private final ChildProcess[] children;
    private final Path keyFile;
    private boolean closed;
    final TestCluster testCluster;
    final DatagramNetwork datagramNetwork;
    final TcpRelays tcpRelays = new TcpRelays();
    final CpuThrottle cpuThrottle = new CpuThrottle();

    /**
     * Allocates addresses and starts the test hosts; the processes are started by {@link #start}.
     *
     * @param requestLog request log of the hosts; left open when the fleet is closed
     * @throws IOException if memory or descriptors are insufficient, or an address can't be allocated
     */
    ProcessFleet(FaultInjectionPlan plan, LaunchCommand launch, Path folder, RequestLogWriter requestLog)
            throws Exception {
        this.plan = plan;
        this.folder = folder;
        this.launch = launch;
        this.members = plan.members();
        this.children = new ChildProcess[members.size()];
        MachineCapacity.check(members.size(), plan.hosts().hosts().size());
        long pid = ProcessHandle.current().pid();
        for (FleetProcess process : members) {
            // A loopback network of this run's own, and ports outside the ephemeral range: a port that is free now is
            // still free when the process starts, and when it is restarted.
            byte[] ip = {
                127, (byte) (10 + pid % 200), (byte) (process.index() / 250), (byte) (1 + process.index() % 250)
            };
            InetAddress address = InetAddress.getByAddress(ip);
            gossipAddresses.add(freeAddress(address, FIRST_PORT, true));
            proxyAddresses.add(freeAddress(address, FIRST_PORT, false));
            adminAddresses.add(
                    freeAddress(address, proxyAddresses.get(process.index()).getPort() + 1, false));
        }
        this.datagramNetwork = new DatagramNetwork(members, gossipAddresses, new DatagramFaults(plan.seed()));
        this.testCluster = new TestCluster(
                plan.hosts(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                2,
                requestLog,
                System.err,
                (caller, address) -> tcpRelays.relayAddress(caller, address));
        testCluster.start();
        this.keyFile = folder.resolve("fleet.key");
        byte[] bytes = new byte[32];
        new SecureRandom().nextBytes(bytes);
        Files.writeString(keyFile, HexFormat.of().formatHex(bytes));
        Files.setPosixFilePermissions(keyFile, PosixFilePermissions.fromString("rw-------"));
        JSON.writeValue(config().toFile(), testCluster.readyFile());
        for (FleetProcess fleetProcess : members) {
            configure(fleetProcess);
        }
    }

    /**
     * Returns the first free port from {@code firstPort} on.
     *
     * @param datagrams whether the port is for UDP; otherwise for TCP
     */
    private static InetSocketAddress freeAddress(InetAddress address, int firstPort, boolean datagrams)
            throws IOException {
        for (int port = firstPort; port < LAST_PORT; port++) {
            try {
                if (datagrams) {
                    new DatagramSocket(port, address).close();
                } else {
                    new ServerSocket(port, 1, address).close();
                }
                return new InetSocketAddress(address, port);
            } catch (BindException e) {
                // in use: try the next port
            }
        }
        throw new IOException(
                "no port from " + firstPort + " to " + LAST_PORT + " is free on " + address.getHostAddress());
    }

    /** Opens a process's relays to discovery and to all hosts, and writes its configuration. */
    private void configure(FleetProcess process) throws Exception {
        InetAddress address = gossipAddresses.get(process.index()).getAddress();
        ObjectNode config = testCluster.readyFile();
        InetSocketAddress discovery =
                tcpRelays.open(process, address, HostPattern.DISCOVERY, "", testCluster.discoveryAddress());
        config.put("name", process.name())
                .put("listen", format(proxyAddresses.get(process.index())))
                .put("discovery", format(discovery));
        for (var node : config.path("known").path("servers")) {
            String host = node.path("id").asText();
            InetSocketAddress relayAddress =
                    tcpRelays.open(process, address, host, node.path("zone").asText(), testCluster.address(host));
            ((ObjectNode) node).put("addr", format(relayAddress));
        }
        ObjectNode settings = (ObjectNode) config.path("settings");
        settings.put("balancers", members.size()).put("position", process.index());
        settings.put(
                "zone",
                settings.path("zones")
                        .path(process.zone() % settings.path("zones").size())
                        .asText());
        JSON.writeValue(folder.resolve(process.name() + ".json").toFile(), config);
    }

    /** Returns a proxy configuration with the hosts' own addresses, for the audit. */
    Path config() {
        return folder.resolve("config.json");
    }

    /** Returns all processes in the order of their indexes. */
    List<FleetProcess> members() {
        return members;
    }

    /** Returns the addresses on which the processes accept requests, in their order. */
    List<InetSocketAddress> proxyAddresses() {
        return proxyAddresses;
    }

    /** Returns the address of a process's membership admin endpoint. */
    InetSocketAddress adminAddress(FleetProcess process) {
        return adminAddresses.get(process.index());
    }

    /** Returns the file to which a process writes its membership history. */
    Path history(FleetProcess process) {
        return folder.resolve(process.name() + ".history");
    }

    /**
     * Starts a process, or restarts it under its old name and addresses.
     *
     * @throws IOException if the fleet is closed or the process can't be started
     */
    synchronized void start(FleetProcess process) throws IOException {
        if (closed) {
            throw new IOException("the trial is over, " + process.name() + " is not started");
        }
        StringBuilder seeds = new StringBuilder();
        for (FleetProcess seed : members.subList(0, Math.min(SEED_COUNT, members.size()))) {
            seeds.append(seeds.isEmpty() ? "" : ",").append(format(datagramNetwork.address(seed)));
        }
        Path settings = folder.resolve(process.name() + ".toml");
        Files.writeString(
                settings,
                "key_file = \"" + keyFile.toAbsolutePath() + "\"\nseeds = \"" + seeds
                        + "\"\n[self]\nname = \"" + process.name() + "\"\nlisten = \""
                        + format(gossipAddresses.get(process.index()))
                        + "\"\nadvertise = \""
                        + format(datagramNetwork.address(process)) + "\"\nzone = " + process.zone() + "\nregion = "
                        + process.region()
                        + "\nadmin = \"" + format(adminAddresses.get(process.index())) + "\"\nhistory = \""
                        + history(process).toAbsolutePath() + "\"\n[spread]\nnews = " + plan.gossip()
                        + "\n[test]\nclock_rate = " + plan.clockRate(process)
                        + "\n[membership]\n" + plan.membership());
        Path log = folder.resolve(process.name() + ".log");
        Path config = folder.resolve(process.name() + ".json");
        LaunchCommand command =
                launch.with("BALANCER_CONFIG", config.toAbsolutePath().toString());
        children[process.index()] = ChildProcess.start(
                command, log, log, "proxy", "--fleet", settings.toAbsolutePath().toString());
    }

    /** Returns the child process that was started last for a process, or null before its first start. */
    ChildProcess child(FleetProcess process) {
        return children[process.index()];
    }

    /**
     * Injects a fault into a process. A lasting fault continues until {@link #end}; a process to be restarted is only
     * killed here, and must be started again by {@link #start}.
     */
    void begin(InjectedFault fault, FleetProcess process) throws IOException, InterruptedException {
        switch (fault.kind()) {
            case KILL -> child(process).kill();
            case TERM -> child(process).terminate();
            case STOP -> child(process).pause();
            case STARVE -> cpuThrottle.begin(child(process), fault.share());
            case RESTART -> child(process).kill(); // restarted once all processes of the fault are down
            default -> throw new IllegalArgumentException(fault.kind() + " is done to no process");
        }
    }

    /** Ends a lasting fault of a process; does nothing for a stopped process that has ended. */
    void end(InjectedFault fault, FleetProcess process) throws IOException, InterruptedException {
        if (fault.kind() == InjectedFault.Kind.STARVE) {
            cpuThrottle.end(child(process));
        } else if (child(process).isAlive()) {
            child(process).resume();
        }
    }

    private static String format(InetSocketAddress address) {
        return TcpRelays.format(address);
    }

    /** Kills all processes and prevents further starts. Their histories are already on disk. */
    synchronized void killAll() {
        closed = true;
        for (ChildProcess process : children) {
            if (process != null) {
                try {
                    process.kill();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    @Override
    public void close() {
        cpuThrottle.close();
        killAll();
        datagramNetwork.close();
        tcpRelays.close();
        testCluster.close();
    }
}
