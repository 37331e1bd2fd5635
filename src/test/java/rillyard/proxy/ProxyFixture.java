package rillyard.proxy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import rillyard.endpoints.EndpointListGuard;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.eventloop.SocketChannelFactory;
import rillyard.proxy.logging.ProxyLog;
import rillyard.proxy.upstream.UpstreamPool;
import rillyard.trace.ProxyTrace;

/** A client proxy on loopback, with a discovery service that sends the endpoint lists which the test announces. */
public final class ProxyFixture implements AutoCloseable {
    /** Source of request ids. They are unique, as the proxy rejects a second request with the same id (409). */
    private static final AtomicLong REQUEST_IDS = new AtomicLong(System.nanoTime());

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String SETTINGS =
            """
      {"balancers":1,"position":0,"zone":"z","zones":["z"],"membershipMode":"automatic",
       "classes":[
        {"name":"read","aim":400,"deadline":800,"semantics":"idempotent","keyScope":"all"},
        {"name":"log","aim":400,"deadline":1200,"semantics":"deduplicated","keyScope":"cell",
         "repeatWindow":750},
        {"name":"claim","aim":400,"deadline":800,"semantics":"at_most_once","keyScope":"all"}],
       "limits":{"cancel":true,"connIdle":60000,"connectTimeout":200,"maxAttempts":6,
        "maxOpen":1000,"parallelTries":true,"probes":true,"retryAfter":true,"streamsPerConn":1},
       "report":{"how":"answers","fields":["rif","fail_rate"]},
       "rules":{"cold":8700,"startCapacity":0.3,"fall":1500,"fallMultiple":3,"drainGrace":500}}
      """;

    final ScriptedDiscovery discovery;
    /** See {@link ScriptedDiscovery#lines}. */
    final BlockingQueue<String> discoveryLines;
    /** See {@link ScriptedDiscovery#watchRequests}. */
    final BlockingQueue<String> watchRequests;

    final ClientProxy proxy;
    final int port;
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();

    public ProxyFixture(String... endpoints) throws Exception {
        this(config -> {}, endpoints);
    }

    /**
     * Starts a proxy.
     *
     * @param change edits the configuration
     * @param endpoints the entries, as {@link #endpoint} creates them, of the list that is known at the start
     */
    public ProxyFixture(Consumer<ObjectNode> change, String... endpoints) throws Exception {
        this(false, null, change, endpoints);
    }

    /** Starts a proxy, which writes its trace to the log if {@code traced}; {@code guard} may be null. */
    ProxyFixture(boolean traced, EndpointListGuard guard, Consumer<ObjectNode> change, String... endpoints)
            throws Exception {
        this(new SocketChannelFactory(), traced, guard, change, endpoints);
    }

    /** Starts a proxy whose channels are created by {@code channels}. */
    ProxyFixture(SocketChannelFactory channels, String... endpoints) throws Exception {
        this(channels, config -> {}, endpoints);
    }

    /** Starts a proxy whose channels are created by {@code channels}; {@code change} edits the configuration. */
    ProxyFixture(SocketChannelFactory channels, Consumer<ObjectNode> change, String... endpoints) throws Exception {
        this(channels, false, null, change, endpoints);
    }

    private ProxyFixture(
            SocketChannelFactory channels,
            boolean traced,
            EndpointListGuard guard,
            Consumer<ObjectNode> change,
            String... endpoints)
            throws Exception {
        discovery = new ScriptedDiscovery();
        discoveryLines = discovery.lines;
        watchRequests = discovery.watchRequests;
        Path file = writeConfig(discovery.port(), change, endpoints);
        PrintStream out = new PrintStream(log, true, StandardCharsets.UTF_8);
        proxy = new ClientProxy(
                ProxyConfig.load(Map.of("BALANCER_CONFIG", file.toString())),
                new ProxyLog(out, traced ? new ProxyTrace(out) : null),
                guard,
                null,
                channels);
        Files.delete(file);
        proxy.start();
        port = proxy.address().getPort();
    }

    /** Writes a configuration to a temporary file, which the caller deletes, and returns its path. */
    public static Path writeConfig(int discoveryPort, Consumer<ObjectNode> change, String... endpoints)
            throws IOException {
        ObjectNode config = JSON.createObjectNode();
        config.put("name", "n0").put("listen", "127.0.0.1:0").put("discovery", "127.0.0.1:" + discoveryPort);
        config.put("seed", "8c1f30d27a5be964");
        config.putObject("limits").put("cores", 1.0).put("memory_mb", 128).put("sockets", 1024);
        config.set("settings", JSON.readTree(SETTINGS));
        config.set("known", JSON.readTree(endpointList(1, true, endpoints)));
        change.accept(config);
        return Files.write(Files.createTempFile("rillyard", ".json"), JSON.writeValueAsBytes(config));
    }

    public static String endpoint(String id, int port) {
        return endpoint(id, port, 0, "up");
    }

    static String endpoint(String id, int port, int cell, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"z\",\"kind\":\"k\"," + "\"cell\":"
                + cell + ",\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    static String endpointList(int version, boolean full, String... endpoints) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", endpoints) + "]}";
    }

    /** Has discovery send a full list or a delta on the watch. */
    void announce(int version, boolean full, String... endpoints) {
        discovery.announce(version, full, endpoints);
    }

    public TestPeer client() throws IOException {
        return TestPeer.connect(port);
    }

    /** Sends one request on a new connection and returns the response. */
    public TestPeer.Message call(String request) throws IOException {
        try (TestPeer peer = client()) {
            peer.write(request);
            return peer.read();
        }
    }

    static String get(String requestClass, int timeoutMillis) {
        return head("GET", requestClass, timeoutMillis, "") + "\r\n";
    }

    public static String post(String requestClass, int timeoutMillis, String headers, String body) {
        return head("POST", requestClass, timeoutMillis, headers) + "Content-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    static String head(String method, String requestClass, int timeoutMillis, String headers) {
        return method + " /" + requestClass + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: "
                + Long.toHexString(REQUEST_IDS.incrementAndGet()) + "\r\nX-Priority-Class: " + requestClass
                + "\r\nX-Timeout-Ms: " + timeoutMillis + "\r\n" + headers;
    }

    /** Blocks the event loop until the returned latch is counted down; input stays in the sockets meanwhile. */
    CountDownLatch blockLoop() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch unblock = new CountDownLatch(1);
        proxy.loop().execute(() -> {
            blocked.countDown();
            try {
                unblock.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        blocked.await();
        return unblock;
    }

    /** Waits until a connection that carried the response to an earlier request may be reused. */
    static void awaitReusableConnections() throws InterruptedException {
        Thread.sleep(TimeUnit.NANOSECONDS.toMillis(UpstreamPool.MIN_IDLE_NANOS) + 1);
    }

    String log() {
        return log.toString(StandardCharsets.UTF_8);
    }

    /** Returns a free port, on which nothing listens. */
    static int freePort() throws IOException {
        try (java.net.ServerSocket server = new java.net.ServerSocket(0)) {
            return server.getLocalPort();
        }
    }

    @Override
    public void close() throws IOException {
        proxy.stop();
        discovery.close();
    }
}
