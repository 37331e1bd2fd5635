package rillyard.proxy.lifecycle;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Map;
import java.util.stream.Stream;
import rillyard.proxy.config.ConfigException;

/**
 * Runs a proxy without clients through its start, warm-up and drain, for the JVM to record the classes that it loads.
 *
 * <p>The build runs it to make the class archive, which shortens the time that a restart leaves clients without a proxy.
 * A proxy without the archive starts as well, only later.
 */
public final class ClassArchiveTraining {
    private static final long MAX_WARM_UP_MILLIS = 30_000;

    private static final String CONFIG =
            """
      {"name":"training","listen":"127.0.0.1:0","operator":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
       "limits":{"cores":1.0,"memory_mb":128,"sockets":1024},
       "known":{"version":1,"full":true,"servers":[
        {"id":"a","addr":"127.0.0.1:1","zone":"z","state":"up"}]},
       "settings":{"balancers":1,"position":0,"zone":"z","zones":["z"],
        "membershipMode":"automatic",
        "classes":[
         {"name":"keyed","aim":400,"deadline":1200,"semantics":"deduplicated","keyScope":"cell",
          "repeatWindow":750},
         {"name":"unsafe","aim":400,"deadline":800,"semantics":"at_most_once","keyScope":"all"}],
        "limits":{"cancel":true,"maxAttempts":6,"parallelTries":true,"streamsPerConn":1},
        "report":{"how":"answers","fields":["rif","fail_rate"]},
        "rules":{"cold":8700,"startCapacity":0.3,"fall":1500,"fallMultiple":3}}}
      """;

    private ClassArchiveTraining() {}

    private static void call(InetSocketAddress address, String methodAndTarget, String body) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            String request = methodAndTarget + " HTTP/1.1\r\nHost: operator\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().readAllBytes();
        }
    }

    /**
     * Runs the proxy and ends the process.
     *
     * @throws IOException if the temporary directory can't be used, or the proxy's admin address not be called
     * @throws ConfigException if the proxy can't be started
     */
    public static void run() throws IOException, ConfigException {
        Path directory = Files.createTempDirectory("training");
        try {
            Path file = Files.writeString(directory.resolve("config.json"), CONFIG);
            Map<String, String> env = Map.of("BALANCER_CONFIG", file.toString(), "TMPDIR", directory.toString());
            InetSocketAddress admin =
                    ProxyLauncher.launch(env, MAX_WARM_UP_MILLIS, null).adminAddress();
            call(admin, "GET /_ready", "");
            call(admin, "GET /_vars", "");
            call(admin, "POST /_hosts/detach", "a");
            call(admin, "POST /_hosts/attach", "a");
        } finally {
            deleteRecursively(directory);
        }
        System.exit(0); // as SIGTERM would end it: what a drain loads is recorded too
    }

    private static void deleteRecursively(Path directory) throws IOException {
        try (Stream<Path> paths = Files.walk(directory)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
