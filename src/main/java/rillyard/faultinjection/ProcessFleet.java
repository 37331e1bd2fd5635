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

/** The processes of a fault-injection run and what they need: hosts, a folder, addresses of its own and relays before each. */
final class ProcessFleet implements AutoCloseable {
    /** Processes that all others may ask for the way in. */
    private static final int SEEDS = 3;

    /** Ports below those that Linux gives out by itself (from 32,768 on), which ways and their connections have. */
    private static final int FIRST_PORT = 20_000;

    private static final int LAST_PORT = 30_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final FaultInjectionPlan plan;
    private final Path folder;
    private final LaunchCommand launch;
    private final List<FleetProcess> members;
    private final List<InetSocketAddress> own = new ArrayList<>();
    private final List<InetSocketAddress> admin = new ArrayList<>();
    private final List<InetSocketAddress> serving = new ArrayList<>();
    private final ChildProcess[] children;
    private final Path key;
    private boolean over;
    final TestCluster hosts;
    final DatagramNetwork datagrams;
    final TcpRelays connections = new TcpRelays();
    final CpuThrottle starving = new CpuThrottle();

    /**
     * Takes addresses and starts the hosts; processes are started by {@link #start}.
     *
     * @param requestLog of the hosts; stays open behind the fleet
     * @throws IOException if memory or descriptors won't do for so many, or an address can't be had
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
            // A network of this run's own, and ports that no connection is given by itself: what is free now is free
            // still
            // when the process starts, and when it starts again.
            byte[] ip = {
                127, (byte) (10 + pid % 200), (byte) (process.index() / 250), (byte) (1 + process.index() % 250)
            };
            InetAddress address = InetAddress.getByAddress(ip);
            own.add(free(address, FIRST_PORT, true));
            serving.add(free(address, FIRST_PORT, false));
            admin.add(free(address, serving.get(process.index()).getPort() + 1, false));
        }
        this.datagrams = new DatagramNetwork(members, own, new DatagramFaults(plan.seed()));
        this.hosts = new TestCluster(
                plan.hosts(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                2,
                requestLog,
                System.err,
                (caller, address) -> connections.told(caller, address));
        hosts.start();
        this.key = folder.resolve("fleet.key");
        byte[] bytes = new byte[32];
        new SecureRandom().nextBytes(bytes);
        Files.writeString(key, HexFormat.of().formatHex(bytes));
        Files.setPosixFilePermissions(key, PosixFilePermissions.fromString("rw-------"));
        JSON.writeValue(config().toFile(), hosts.readyFile());
        for (FleetProcess fleetProcess : members) {
            configure(fleetProcess);
        }
    }

    /** The first port from {@code from} on that nobody has. */
    private static InetSocketAddress free(InetAddress address, int from, boolean datagrams) throws IOException {
        for (int port = from; port < LAST_PORT; port++) {
            try {
                if (datagrams) {
                    new DatagramSocket(port, address).close();
                } else {
                    new ServerSocket(port, 1, address).close();
                }
                return new InetSocketAddress(address, port);
            } catch (BindException e) {
                // taken: the next
            }
        }
        throw new IOException("no port from " + from + " to " + LAST_PORT + " is free on " + address.getHostAddress());
    }

    /** Opens a process's ways to discovery and to all hosts, and writes its configuration. */
    private void configure(FleetProcess process) throws Exception {
        InetAddress address = own.get(process.index()).getAddress();
        ObjectNode config = hosts.readyFile();
        InetSocketAddress discovery =
                connections.open(process, address, HostPattern.DISCOVERY, "", hosts.discoveryAddress());
        config.put("name", process.name())
                .put("listen", text(serving.get(process.index())))
                .put("discovery", text(discovery));
        for (var node : config.path("known").path("servers")) {
            String host = node.path("id").asText();
            InetSocketAddress way =
                    connections.open(process, address, host, node.path("zone").asText(), hosts.address(host));
            ((ObjectNode) node).put("addr", text(way));
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

    /** The configuration of a proxy before these hosts, for the auditor. */
    Path config() {
        return folder.resolve("config.json");
    }

    List<FleetProcess> members() {
        return members;
    }

    /** Where the processes serve, in their order. */
    List<InetSocketAddress> serving() {
        return serving;
    }

    /** Where a process tells what it holds. */
    InetSocketAddress admin(FleetProcess process) {
        return admin.get(process.index());
    }

    Path history(FleetProcess process) {
        return folder.resolve(process.name() + ".history");
    }

    /** Starts a process, also again under its old name and addresses. */
    synchronized void start(FleetProcess process) throws IOException {
        if (over) {
            throw new IOException("the trial is over, " + process.name() + " is not started");
        }
        StringBuilder seeds = new StringBuilder();
        for (FleetProcess fleetProcess : members.subList(0, Math.min(SEEDS, members.size()))) {
            seeds.append(seeds.isEmpty() ? "" : ",").append(text(datagrams.address(fleetProcess)));
        }
        Path settings = folder.resolve(process.name() + ".toml");
        Files.writeString(
                settings,
                "key_file = \"" + key.toAbsolutePath() + "\"\nseeds = \"" + seeds
                        + "\"\n[self]\nname = \"" + process.name() + "\"\nlisten = \"" + text(own.get(process.index()))
                        + "\"\nadvertise = \""
                        + text(datagrams.address(process)) + "\"\nzone = " + process.zone() + "\nregion = "
                        + process.region()
                        + "\nadmin = \"" + text(admin.get(process.index())) + "\"\nhistory = \""
                        + history(process).toAbsolutePath() + "\"\n[spread]\nnews = " + plan.news()
                        + "\n[test]\nclock_rate = " + plan.clockRate(process)
                        + "\n[membership]\n" + plan.membership());
        Path log = folder.resolve(process.name() + ".log");
        Path config = folder.resolve(process.name() + ".json");
        LaunchCommand told =
                launch.with("BALANCER_CONFIG", config.toAbsolutePath().toString());
        children[process.index()] = ChildProcess.start(
                told, log, log, "proxy", "--fleet", settings.toAbsolutePath().toString());
    }

    ChildProcess child(FleetProcess process) {
        return children[process.index()];
    }

    /** Begins what is done to a process; what lasts does until {@link #end}, who is restarted is to be started. */
    void begin(InjectedFault fault, FleetProcess process) throws IOException, InterruptedException {
        switch (fault.kind()) {
            case KILL -> child(process).kill();
            case TERM -> child(process).terminate();
            case STOP -> child(process).pause();
            case STARVE -> starving.begin(child(process), fault.share());
            case RESTART -> child(process).kill(); // started again once all that the fault is about are down
            default -> throw new IllegalArgumentException(fault.kind() + " is done to no process");
        }
    }

    void end(InjectedFault fault, FleetProcess process) throws IOException, InterruptedException {
        if (fault.kind() == InjectedFault.Kind.STARVE) {
            starving.end(child(process));
        } else if (child(process).isAlive()) {
            child(process).resume();
        }
    }

    private static String text(InetSocketAddress address) {
        return TcpRelays.text(address);
    }

    /** Ends every process, by force: what they believed is written down already. None is started after. */
    synchronized void killAll() {
        over = true;
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
        starving.close();
        killAll();
        datagrams.close();
        connections.close();
        hosts.close();
    }
}
