package rillyard.proxy.lifecycle;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.StringJoiner;
import java.util.stream.Stream;
import rillyard.proxy.ClientProxy;
import rillyard.proxy.config.ConfigException;

/**
 * Runs a proxy through start, warm-up, failing requests and drain, so that the JVM records the classes that it loads.
 *
 * <p>The build runs it to create the class archive, which shortens the time for which a restart leaves clients without
 * a proxy. Without the archive, a proxy only starts more slowly.
 */
public final class ClassArchiveTraining {
    private static final long MAX_WARM_UP_MILLIS = 30_000;

    private static final String CONFIG =
            """
      {"name":"training","listen":"127.0.0.1:0","operator":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
       "limits":{"cores":1.0,"memory_mb":128,"sockets":1024},
       "known":{"version":1,"full":true,"servers":[
        HOSTS]},
       "settings":{"balancers":1,"position":0,"zone":"z","zones":["z"],
        "membershipMode":"automatic",
        "classes":[
         {"name":"read","aim":400,"deadline":1200,"semantics":"idempotent","keyScope":"all"},
         {"name":"keyed","aim":400,"deadline":1200,"semantics":"deduplicated","keyScope":"cell",
          "repeatWindow":750},
         {"name":"unsafe","aim":400,"deadline":800,"semantics":"at_most_once","keyScope":"all"}],
        "limits":{"cancel":true,"maxAttempts":6,"parallelTries":true,"streamsPerConn":1},
        "report":{"how":"answers","fields":["rif","fail_rate"]},
        "rules":{"cold":8700,"startCapacity":0.3,"fall":1500,"fallMultiple":3}}}
      """;

    /** Number of hosts of the proxy; large enough that a few failures of each don't eject all of them. */
    private static final int HOST_COUNT = 16;

    private ClassArchiveTraining() {}

    private static String configFor(FaultyHost host) {
        StringJoiner hosts = new StringJoiner(",");
        for (int i = 0; i < HOST_COUNT; i++) {
            hosts.add("{\"id\":\"host-" + i + "\",\"addr\":\"127.0.0.1:" + host.port()
                    + "\",\"zone\":\"z\",\"state\":\"up\"}");
        }
        return CONFIG.replace("HOSTS", hosts.toString());
    }

    private static void callAdmin(InetSocketAddress address, String methodAndTarget, String body) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            String request = methodAndTarget + " HTTP/1.1\r\nHost: operator\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().readAllBytes();
        }
    }

    /**
     * Runs the proxy, sends it requests that fail, and exits the process: with status 0, or with 1 and one line on
     * standard error if the run could not be completed. The proxy logs each failure there, as in production.
     */
    public static void run() {
        try {
            train();
        } catch (IOException | ConfigException | RuntimeException e) {
            System.err.println("rillyard: archive: training failed, cause=" + e);
            System.exit(1); // the proxy's threads would keep the process alive
        }
        System.exit(0); // drains as on SIGTERM, which records the classes of a drain, too
    }

    private static void train() throws IOException, ConfigException {
        Path directory = Files.createTempDirectory("training");
        try (FaultyHost host = new FaultyHost()) {
            Path file = Files.writeString(directory.resolve("config.json"), configFor(host));
            Map<String, String> env = Map.of("BALANCER_CONFIG", file.toString(), "TMPDIR", directory.toString());
            ClientProxy proxy = ProxyLauncher.launch(env, MAX_WARM_UP_MILLIS, null);
            InetSocketAddress admin = proxy.adminAddress();
            callAdmin(admin, "GET /_ready", "");
            callAdmin(admin, "GET /_vars", "");
            callAdmin(admin, "POST /_hosts/detach", "host-0");
            callAdmin(admin, "POST /_hosts/attach", "host-0");
            new FaultPathTraining(proxy.address()).run();
        } finally {
            deleteRecursively(directory);
        }
    }

    private static void deleteRecursively(Path directory) throws IOException {
        try (Stream<Path> paths = Files.walk(directory)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
