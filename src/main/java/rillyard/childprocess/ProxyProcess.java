package rillyard.childprocess;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/** A proxy in a process of its own, as a platform would run it. */
public final class ProxyProcess implements AutoCloseable {
    /** How far one has come, as a client can see it. */
    public enum State {
        /** Connections are rejected. */
        ABSENT,
        /** It listens, and is not ready. */
        LISTENING,
        /** It says that it would serve. */
        READY
    }

    private static final long READY_TIMEOUT_NANOS = 60_000_000_000L;
    private static final int HEALTH_TIMEOUT_MS = 1_000;
    private static final int HEALTH_INTERVAL_MS = 10;
    private static final int MAX_STARTS = 3;
    private static final byte[] HEALTH_REQUEST =
            "GET /_health HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] HEALTHY_RESPONSE = "HTTP/1.1 200".getBytes(StandardCharsets.US_ASCII);

    private final ChildProcess process;
    private final InetSocketAddress address;
    private final Path log;

    private ProxyProcess(ChildProcess process, InetSocketAddress address, Path log) {
        this.process = process;
        this.address = address;
        this.log = log;
    }

    /**
     * Starts one from this program's own class path, on a free port, and waits until it would serve.
     *
     * @param config its configuration, as a ready file holds it
     * @param log gets what it writes
     * @throws IOException if it does not come up; holds the end of its log
     */
    public static ProxyProcess start(Path config, Path log) throws IOException, InterruptedException {
        LaunchCommand launch =
                LaunchCommand.self().with(List.of("-XX:+UseSerialGC", "-Xmx64m", "-XX:MaxDirectMemorySize=140m"));
        IOException failure = null;
        for (int i = 0; i < MAX_STARTS; i++) { // another may take the free port first
            ProxyProcess proxy = launch(launch, config, freeAddress(), log);
            try {
                proxy.await(State.READY);
                return proxy;
            } catch (IOException e) {
                proxy.close();
                failure = e;
            }
        }
        throw failure;
    }

    /**
     * Starts one and returns at once.
     *
     * @param listen where it is to listen
     * @throws IOException if the process could not be started
     */
    public static ProxyProcess launch(LaunchCommand launch, Path config, InetSocketAddress listen, Path log)
            throws IOException {
        LaunchCommand command = launch.with("BALANCER_CONFIG", config.toString())
                .with("BALANCER_LISTEN", listen.getAddress().getHostAddress() + ":" + listen.getPort());
        return new ProxyProcess(ChildProcess.start(command, log, log, "proxy"), listen, log);
    }

    /** An address of loopback that was free a moment ago. */
    public static InetSocketAddress freeAddress() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket server = new ServerSocket(0, 1, loopback)) {
            return new InetSocketAddress(loopback, server.getLocalPort());
        }
    }

    /**
     * Waits until it has come so far.
     *
     * @throws IOException if it ends first or takes more than a minute; holds the end of its log
     */
    public void await(State required) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
        State current = state(address);
        while (current.compareTo(required) < 0) {
            if (!process.isAlive() || System.nanoTime() > deadlineNanos) {
                String output = Files.exists(log) ? Files.readString(log) : "";
                throw new IOException("the proxy did not come up; it said:\n"
                        + output.substring(Math.max(0, output.length() - 2_000)));
            }
            // Prevents asking so often that it is the questions which warm the proxy up, or starve it.
            Thread.sleep(current == State.ABSENT ? 1 : HEALTH_INTERVAL_MS);
            current = state(address);
        }
    }

    /** How far the proxy at an address has come. */
    public static State state(InetSocketAddress address) {
        try (Socket socket = new Socket()) {
            socket.connect(address, HEALTH_TIMEOUT_MS);
            socket.setSoTimeout(HEALTH_TIMEOUT_MS);
            try {
                socket.getOutputStream().write(HEALTH_REQUEST);
                byte[] head = socket.getInputStream().readNBytes(HEALTHY_RESPONSE.length);
                return java.util.Arrays.equals(head, HEALTHY_RESPONSE) ? State.READY : State.LISTENING;
            } catch (IOException e) {
                return State.LISTENING;
            }
        } catch (IOException e) {
            return State.ABSENT;
        }
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Its process id. */
    public long pid() {
        return process.pid();
    }

    /** The CPU time that it has taken so far, to the clock tick (10 ms). */
    public Duration cpuTime() {
        return process.cpuTime();
    }

    /** Resident memory in KiB, 0 where the system does not tell. */
    public long residentKb() throws IOException {
        Path status = Path.of("/proc", Long.toString(pid()), "status");
        if (!Files.exists(status)) {
            return 0;
        }
        for (String line : Files.readAllLines(status)) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        return 0;
    }

    /** The process itself, to be ended in other ways than {@link #close}. */
    public ChildProcess process() {
        return process;
    }

    /** Ends it in order; by force if that takes too long. */
    @Override
    public void close() {
        process.close();
    }
}
