package rillyard.proxy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import rillyard.childprocess.LaunchCommand;
import rillyard.childprocess.ProxyProcess;

/** A process of the built jar as the platform starts it, beside a discovery that sends what the test announces. */
final class PlatformProxy implements AutoCloseable {
    final ScriptedDiscovery discovery = new ScriptedDiscovery();
    private final Path log;
    private final ProxyProcess process;

    private PlatformProxy(
            Path folder, String name, InetSocketAddress listen, Consumer<ObjectNode> change, String... endpoints)
            throws Exception {
        Path config = folder.resolve(name + ".json");
        Files.move(ProxyFixture.writeConfig(discovery.port(), change, endpoints), config);
        Path temporary = Files.createDirectories(folder.resolve("tmp"));
        log = folder.resolve(name + ".log");
        LaunchCommand command =
                LaunchCommand.platform(Path.of("").toAbsolutePath()).with("TMPDIR", temporary.toString());
        process = ProxyProcess.launch(command, config, listen, log);
    }

    /** Starts a process on a free port and waits until it is ready; {@code change} edits the configuration. */
    static PlatformProxy start(Path folder, Consumer<ObjectNode> change, String... endpoints) throws Exception {
        PlatformProxy proxy = new PlatformProxy(folder, "proxy", ProxyProcess.ANY_PORT, change, endpoints);
        proxy.process.await(ProxyProcess.State.READY);
        return proxy;
    }

    /**
     * Starts a process that shares its address with others of the same folder, and waits until its admin endpoint
     * reports it as ready.
     *
     * @param name the name of its files, unique in the folder
     */
    static PlatformProxy startBeside(
            Path folder, String name, InetSocketAddress listen, Consumer<ObjectNode> change, String... endpoints)
            throws Exception {
        int adminPort = ProxyProcess.freeAddress().getPort();
        Consumer<ObjectNode> withAdmin = json -> {
            json.put("operator", "127.0.0.1:" + adminPort);
            change.accept(json);
        };
        PlatformProxy proxy = new PlatformProxy(folder, name, listen, withAdmin, endpoints);
        while (!isReady(adminPort)) {
            Thread.sleep(10);
        }
        return proxy;
    }

    private static boolean isReady(int adminPort) {
        try (TestPeer peer = TestPeer.connect(adminPort)) {
            peer.write("GET /_ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
            TestPeer.Message response = peer.read();
            return response != null && response.status() == 200;
        } catch (IOException e) {
            return false; // not listening yet
        }
    }

    /** Returns a change of the configuration to these limits of the process. */
    static Consumer<ObjectNode> limits(int memoryMb, int descriptors) {
        return json ->
                ((ObjectNode) json.get("limits")).put("memory_mb", memoryMb).put("sockets", descriptors);
    }

    TestPeer client() throws IOException {
        return TestPeer.connect(process.address().getPort());
    }

    ProxyProcess process() {
        return process;
    }

    /** Returns the most resident memory (MiB) that the process has had so far. */
    long peakResidentMb() throws IOException {
        return statusKb("VmHWM:") / 1024;
    }

    /** Returns a figure (KiB) of the process's status in /proc; 0 if the process has ended. */
    long statusKb(String key) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
            if (line.startsWith(key)) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        return 0;
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    /** Returns the last lines of the log, for messages of failures. */
    String logEnd() {
        try {
            String all = log();
            return all.substring(Math.max(0, all.length() - 1_000));
        } catch (IOException e) {
            return e.toString();
        }
    }

    @Override
    public void close() throws IOException {
        process.close();
        discovery.close();
    }
}
