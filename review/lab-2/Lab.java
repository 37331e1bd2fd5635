package lab2;

import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * One run of a case: its record, its temporary folder, and the proxies that it starts with the command of the deploy
 * file. {@link #close} ends everything that was started.
 */
public final class Lab implements AutoCloseable {
    /** Exit status of a program whose case could not run; run.sh takes all but 0 and {@link #BROKEN} for it. */
    public static final int COULD_NOT_RUN = 2;

    /** Exit status of a program that has found the rule broken; the JVM itself uses 1. */
    public static final int BROKEN = 3;

    private static final long READY_MILLIS = 30_000;
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    /** The platform's limits of one proxy. */
    public record Limits(int memoryMb, int sockets) {}

    /** A proxy that was started. */
    public final class Proxy {
        private final Process process;
        private final InetSocketAddress address;
        private final Path log;

        private Proxy(Process process, InetSocketAddress address, Path log) {
            this.process = process;
            this.address = address;
            this.log = log;
        }

        public InetSocketAddress address() {
            return address;
        }

        public boolean isAlive() {
            return process.isAlive();
        }

        public int exitStatus() {
            return process.exitValue();
        }

        public long pid() {
            return process.pid();
        }

        /** Sends a signal to the process, by its id. */
        public void signal(String name) throws IOException, InterruptedException {
            record("signal to the proxy: %s", name);
            new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
        }

        /** Returns what the proxy has written to its log. */
        public String log() throws IOException {
            return Files.readString(log, StandardCharsets.ISO_8859_1);
        }

        /** Returns the resident memory in MB, 0 if it is not known. */
        public long residentMb() {
            try {
                for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid()), "status"))) {
                    if (line.startsWith("VmRSS:")) {
                        return Long.parseLong(line.replaceAll("\\D", "")) / 1024;
                    }
                }
            } catch (IOException e) {
                return 0;
            }
            return 0;
        }

        /** Returns the number of open descriptors, 0 if it is not known. */
        public int descriptors() {
            String[] open = new File("/proc/" + pid() + "/fd").list();
            return open == null ? 0 : open.length;
        }

        /** Waits until the health check answers 200. */
        public void awaitReady() throws IOException, InterruptedException {
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MILLIS);
            while (!isReady()) {
                if (!process.isAlive() || System.nanoTime() > until) {
                    throw new IOException("the proxy did not become ready; its log: " + log());
                }
                Thread.sleep(20);
            }
            record("the proxy is ready, pid %d", pid());
        }

        private boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(address, 500);
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write("GET /_health HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                InputStream in = socket.getInputStream();
                return new String(in.readNBytes(12), StandardCharsets.US_ASCII).equals("HTTP/1.1 200");
            } catch (IOException e) {
                return false;
            }
        }

        /** Waits for the end of the process; returns whether it has ended in time. */
        public boolean awaitEnd(long millis) throws InterruptedException {
            return process.waitFor(millis, TimeUnit.MILLISECONDS);
        }

        private void end() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private final long startNanos = System.nanoTime();
    private final BufferedWriter record;
    private final Path temporary;
    private final Path root;
    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final List<Proxy> proxies = new ArrayList<>();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private boolean closed;

    private Lab(Path folder) throws IOException {
        this.record = Files.newBufferedWriter(folder.resolve("record.txt"));
        this.root = folder.toAbsolutePath().normalize().getParent().getParent();
        this.temporary = Files.createTempDirectory("review-");
    }

    /** A case: returns whether the rule was broken. */
    public interface Case {
        boolean run(Lab lab) throws Exception;
    }

    /** Runs a case in its folder, which is the first argument, and exits with its result. */
    public static void main(String[] args, Case body) {
        int status = COULD_NOT_RUN;
        try (Lab lab = new Lab(Path.of(args[0]))) {
            lab.record("begin, trouble=%s", lab.trouble);
            try {
                boolean broken = body.run(lab);
                lab.record("result: the rule %s", broken ? "was BROKEN" : "held");
                System.out.println(broken ? "the rule was broken" : "the rule held");
                status = broken ? BROKEN : 0;
            } catch (Throwable e) {
                lab.record("could not run: %s", e);
                e.printStackTrace();
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    /** Returns whether the disruption is to be caused. */
    public boolean trouble() {
        return trouble;
    }

    /** Returns the time since the start of the case (ms). */
    public double millis() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    /** Writes a line to the record. */
    public void record(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%10.1f ", millis()) + String.format(Locale.ROOT, format, values);
        synchronized (record) {
            if (closed) {
                return;
            }
            try {
                record.write(line);
                record.newLine();
                record.flush();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Closes a stand-in at the end of the case. */
    public <T extends AutoCloseable> T own(T resource) {
        synchronized (resources) {
            resources.add(resource);
        }
        return resource;
    }

    /** Returns a loopback address with a port that is free now. */
    public static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new InetSocketAddress(probe.getInetAddress(), probe.getLocalPort());
        }
    }

    /** Returns an address as text. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Writes a configuration and starts a proxy as the platform does; the caller waits until it is ready. */
    public Proxy startProxy(
            String name, InetSocketAddress discovery, String known, Limits limits, String settings, Map<String, String> env)
            throws IOException {
        InetSocketAddress listen = freeAddress();
        Path config = temporary.resolve(name + ".json");
        Files.writeString(config, config(name, listen, discovery, known, limits, settings));
        return startProxy(name, listen, discovery, config, env);
    }

    /** Returns the text of a configuration file. */
    public static String config(
            String name,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            String known,
            Limits limits,
            String settings) {
        return "{\"name\":\"" + name + "\",\"listen\":\"" + text(listen) + "\",\"discovery\":\"" + text(discovery)
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + limits.memoryMb()
                + ",\"sockets\":" + limits.sockets() + "},\"known\":" + known + ",\"settings\":" + settings + "}";
    }

    /** Starts a proxy with a configuration that was written before. */
    public Proxy startProxy(
            String name, InetSocketAddress listen, InetSocketAddress discovery, Path config, Map<String, String> env)
            throws IOException {
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no line 'run'");
        }
        Path log = temporary.resolve(name + "-" + proxies.size() + ".log");
        Path tmp = Files.createDirectories(temporary.resolve("tmp-" + name));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
        builder.directory(root.toFile());
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("BALANCER_NAME", name);
        builder.environment().put("BALANCER_LISTEN", text(listen));
        builder.environment().put("BALANCER_DISCOVERY", text(discovery));
        builder.environment().put("TMPDIR", tmp.toString());
        builder.environment().putAll(env);
        builder.redirectErrorStream(true);
        builder.redirectOutput(log.toFile());
        builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
        record("start of proxy %s: %s", name, run.group(1));
        Proxy proxy = new Proxy(builder.start(), listen, log);
        proxies.add(proxy);
        Runtime.getRuntime().addShutdownHook(new Thread(proxy::end)); // also if the case itself is ended
        return proxy;
    }

    /** Returns the temporary folder of the run. */
    public Path temporary() {
        return temporary;
    }

    @Override
    public void close() throws IOException {
        for (Proxy proxy : proxies) {
            String state = proxy.isAlive() ? "running" : "ended with " + proxy.exitStatus();
            proxy.end();
            record("log of the proxy, pid %d, which was %s at the end:%n%s", proxy.pid(), state, proxy.log().strip());
        }
        for (AutoCloseable resource : resources) {
            try {
                resource.close();
            } catch (Exception e) {
                record("close: %s", e);
            }
        }
        synchronized (record) {
            closed = true;
            record.close();
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
