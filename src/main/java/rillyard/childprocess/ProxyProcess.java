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
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A proxy in a child process, started as a platform would start it. */
public final class ProxyProcess implements AutoCloseable {
    /** How far a proxy's start has come, as seen by a client. */
    public enum State {
        /** Connections are refused. */
        ABSENT,
        /** It accepts connections, and is not ready. */
        LISTENING,
        /** Its health check succeeds. */
        READY
    }

    private static final long READY_TIMEOUT_NANOS = 60_000_000_000L;
    private static final int HEALTH_TIMEOUT_MS = 1_000;
    private static final int HEALTH_INTERVAL_MS = 10;
    private static final byte[] HEALTH_REQUEST =
            "GET /_health HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] HEALTHY_RESPONSE = "HTTP/1.1 200".getBytes(StandardCharsets.US_ASCII);

    /** Any free port of loopback, which the proxy itself binds and writes to its log. */
    public static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private static final Pattern LISTENING = Pattern.compile("listening, address=[^\\s:]+:(\\d+)");

    private final ChildProcess process;
    private final Path log;
    private InetSocketAddress address;

    private ProxyProcess(ChildProcess process, InetSocketAddress address, Path log) {
        this.process = process;
        this.address = address;
        this.log = log;
    }

    /**
     * Starts a proxy from this program's class path on a free port, and waits until it is ready.
     *
     * @param config file with its configuration, in the form of a ready file
     * @param log file for its output
     * @throws IOException if it does not become ready; the message contains the end of its log
     */
    public static ProxyProcess start(Path config, Path log) throws IOException, InterruptedException {
        LaunchCommand launch =
                LaunchCommand.self().with(List.of("-XX:+UseSerialGC", "-Xmx64m", "-XX:MaxDirectMemorySize=140m"));
        ProxyProcess proxy = launch(launch, config, ANY_PORT, log);
        try {
            proxy.await(State.READY);
            return proxy;
        } catch (IOException e) {
            proxy.close();
            throw e;
        }
    }

    /**
     * Starts a proxy and returns at once.
     *
     * @param launch how the program is started
     * @param config file with its configuration
     * @param listen address on which it listens; {@link #ANY_PORT} only for a build that logs its address
     * @param log file for its output, which is overwritten
     * @throws IOException if the process could not be started
     */
    public static ProxyProcess launch(LaunchCommand launch, Path config, InetSocketAddress listen, Path log)
            throws IOException {
        LaunchCommand command = launch.with("BALANCER_CONFIG", config.toString())
                .with("BALANCER_LISTEN", listen.getAddress().getHostAddress() + ":" + listen.getPort());
        return new ProxyProcess(ChildProcess.start(command, log, log, "proxy"), listen, log);
    }

    /** Returns a loopback address whose port was free a moment ago, and may be taken when it is used. */
    public static InetSocketAddress freeAddress() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket server = new ServerSocket(0, 1, loopback)) {
            return new InetSocketAddress(loopback, server.getLocalPort());
        }
    }

    /**
     * Waits until the proxy has reached a state.
     *
     * @throws IOException if it ends first or takes more than a minute; the message contains the end of its log
     */
    public void await(State required) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
        State current = state();
        while (current.compareTo(required) < 0) {
            if (!process.isAlive() || System.nanoTime() > deadlineNanos) {
                String output = Files.exists(log) ? Files.readString(log) : "";
                throw new IOException("the proxy did not come up; it said:\n"
                        + output.substring(Math.max(0, output.length() - 2_000)));
            }
            // More frequent health checks would themselves warm the proxy up, or take its CPU time.
            Thread.sleep(current == State.ABSENT ? 1 : HEALTH_INTERVAL_MS);
            current = state();
        }
    }

    private State state() throws IOException {
        if (address.getPort() == 0) {
            readPort();
        }
        return address.getPort() == 0 ? State.ABSENT : state(address);
    }

    private void readPort() throws IOException {
        Matcher listening = LISTENING.matcher(Files.exists(log) ? Files.readString(log) : "");
        if (listening.find()) {
            address = new InetSocketAddress(address.getAddress(), Integer.parseInt(listening.group(1)));
        }
    }

    /** Returns the state of the proxy at an address, by a health check. */
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

    /** Returns the address on which the proxy listens; with {@link #ANY_PORT} only after {@link #await}. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the process id. */
    public long pid() {
        return process.pid();
    }

    /** Returns the CPU time used so far, in steps of the clock tick (10 ms). */
    public Duration cpuTime() {
        return process.cpuTime();
    }

    /** Returns the resident memory in KiB, or 0 where the system does not report it. */
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

    /** Returns the child process, which can be ended in other ways than {@link #close}. */
    public ChildProcess process() {
        return process;
    }

    /** Terminates the proxy gracefully, and kills it if that takes too long. */
    @Override
    public void close() {
        process.close();
    }
}
