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
import rillyard.proxy.ClientProxy;
import rillyard.proxy.config.ConfigException;

/**
 * A start and a warm-up with nobody there. The build runs it to archive the classes that a proxy
 * loads: guards against a restart that leaves its clients alone for as long as a part of a core
 * takes to load and verify them all. Without the archive a proxy starts as well, only later.
 */
public final class ClassArchiveTraining {
    private static final long MOST_MS = 30_000;

    private static final String CONFIG =
            """
      {"name":"rehearsal","listen":"127.0.0.1:0","operator":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
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

    private static void call(InetSocketAddress to, String what, String body) throws IOException {
        try (Socket socket = new Socket(to.getAddress(), to.getPort())) {
            String request =
                    what + " HTTP/1.1\r\nHost: operator\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().readAllBytes();
        }
    }

    /** Runs one from its start to its drain, and ends the process. */
    public static void run() throws IOException, ConfigException {
        Path folder = Files.createTempDirectory("rehearsal");
        try {
            Path file = Files.writeString(folder.resolve("config.json"), CONFIG);
            Map<String, String> env = Map.of("BALANCER_CONFIG", file.toString(), "TMPDIR", folder.toString());
            InetSocketAddress operator = ClientProxy.begin(env, MOST_MS, null).adminAddress();
            call(operator, "GET /_ready", "");
            call(operator, "GET /_vars", "");
            call(operator, "POST /_hosts/detach", "a");
            call(operator, "POST /_hosts/attach", "a");
        } finally {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        }
        System.exit(0); // as SIGTERM would end it: what a drain loads is of use too
    }
}
