package rillyard.testserver;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rillyard.requestlog.ExecutionResult;
import rillyard.requestlog.HostEvent;
import rillyard.requestlog.HostExecution;
import rillyard.requestlog.LogHeader;
import rillyard.requestlog.LogRecord;
import rillyard.requestlog.RequestLogReader;
import rillyard.requestlog.RequestLogWriter;
import rillyard.requestlog.WatchNotification;

/** Runs a test cluster on loopback with raw clients, and checks the records in its request log. */
class TestClusterTest {
    private static final String HOSTS =
            """
      [hosts]
      count = 2
      cell_size = 2
      cores = 1
      queue = 1
      connections = 3
      [discovery]
      notice_ms = 0
      [[class]]
      name = "list"
      semantics = "idempotent"
      work = { dist = "constant", mean_ms = 1 }
      [[class]]
      name = "log"
      semantics = "deduplicated"
      window_ms = 60000
      work = { dist = "constant", mean_ms = 1 }
      [[class]]
      name = "claim"
      work = { dist = "constant", mean_ms = 300 }
      """;

    @TempDir
    Path folder;

    private RequestLogWriter requestLog;
    private TestCluster cluster;

    @BeforeEach
    void start() throws Exception {
        requestLog = RequestLogWriter.open(logFile(), new LogHeader("hosts", 1, 1));
        cluster = new TestCluster(
                TestClusterPlanReader.parse("t", HOSTS, 0),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                1,
                requestLog,
                System.err);
        cluster.start();
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
        requestLog.close();
    }

    private Path logFile() {
        return folder.resolve("hosts.jsonl");
    }

    private RawClient connect(int number) throws IOException {
        return new RawClient(cluster.address("s-" + number));
    }

    /** Stops the cluster and returns the records of one type from its request log. */
    private <T extends LogRecord> List<T> records(Class<T> kind) throws Exception {
        stop();
        List<T> out = new ArrayList<>();
        assertThat(RequestLogReader.read(logFile(), "hosts", line -> {
                    if (kind.isInstance(line)) {
                        out.add(kind.cast(line));
                    }
                }))
                .isTrue();
        return out;
    }

    private String postFault(String toml) throws IOException {
        try (RawClient client = new RawClient(cluster.controlAddress())) {
            client.write("POST /faults HTTP/1.1\r\nHost: h\r\nContent-Length: " + toml.length() + "\r\n\r\n" + toml);
            return client.readResponse();
        }
    }

    private void beginFault(String kind, int host, String more) throws IOException {
        String response = postFault("[[fault]]\nkind = \"" + kind + "\"\nhost = \"s-" + host + "\"\n" + more + "\n");
        assertThat(response).startsWith("HTTP/1.1 200").endsWith("1 begun\n");
    }

    @Test
    void responseNamesRequestAndBody() throws Exception {
        try (RawClient client = connect(0)) {
            client.write(RawClient.request("list", "a1", null, null));
            assertThat(client.readResponse())
                    .startsWith("HTTP/1.1 200")
                    .contains("X-Server-Load: inflight=")
                    .contains("id=a1 host=s-0 len=0 crc=0");
            client.write(RawClient.request("claim", "a2", null, "123456789"));
            assertThat(client.readResponse())
                    .contains("id=a2 host=s-0 len=9 crc=cbf43926"); // the check value of CRC-32
            client.write("GET /ping HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThat(client.readResponse()).startsWith("HTTP/1.1 200");
            client.write("GET /list HTTP/1.1\r\nHost: h\r\n\r\n"); // no id
            assertThat(client.readResponse()).startsWith("HTTP/1.1 404");
        }
        assertThat(records(HostExecution.class))
                .extracting(HostExecution::requestId)
                .containsExactly("a1", "a2");
    }

    @Test
    void idempotencyKeyRunsOncePerCell() throws Exception {
        for (int i = 0; i < 2; i++) {
            try (RawClient client = connect(i)) {
                client.write(RawClient.request("log", "b" + i, "k", "x"));
                assertThat(client.readResponse()).contains("id=b" + i);
            }
        }
        assertThat(records(HostExecution.class))
                .extracting(HostExecution::result)
                .containsExactly(ExecutionResult.DONE, ExecutionResult.REMEMBERED);
    }

    @Test
    void requestOverCapacityIsRejectedAsNotProcessed() throws Exception {
        List<RawClient> clients = new ArrayList<>();
        // One runs, one waits, one exceeds the queue, and the fourth exceeds the connection limit.
        for (int i = 0; i < 4; i++) {
            RawClient client = connect(0);
            clients.add(client);
            client.write(RawClient.request("claim", "c" + i, null, "x"));
        }
        List<String> responses = new ArrayList<>();
        for (RawClient rawClient : clients) {
            responses.add(rawClient.readResponse());
            rawClient.close();
        }
        assertThat(responses)
                .filteredOn(response -> response.startsWith("HTTP/1.1 200"))
                .hasSize(2);
        assertThat(responses)
                .filteredOn(response -> response.startsWith("HTTP/1.1 503") && response.contains("X-Not-Processed: 1"))
                .hasSize(2);
        assertThat(records(HostExecution.class))
                .filteredOn(execution -> execution.result() == ExecutionResult.TURNED_AWAY)
                .hasSize(2)
                .allMatch(hostExecution -> !hostExecution.mayHaveRun());
    }

    @Test
    void disconnectedClientIsLogged() throws Exception {
        try (RawClient running = connect(0);
                RawClient queued = connect(0)) {
            running.write(RawClient.request("claim", "d0", null, "x"));
            running.write(""); // the queued request is sent only after the load report shows this one running
            awaitLoad(connect(0), "inflight=1");
            queued.write(RawClient.request("claim", "d1", null, "x"));
            awaitLoad(connect(0), "inflight=2");
        }
        awaitLoad(connect(0), "inflight=0");
        List<HostExecution> executions = records(HostExecution.class);
        assertThat(executions).extracting(HostExecution::requestId).containsExactlyInAnyOrder("d0", "d1");
        for (HostExecution execution : executions) {
            assertThat(execution.result())
                    .isEqualTo(execution.requestId().equals("d0") ? ExecutionResult.LEFT : ExecutionResult.DROPPED);
        }
    }

    private static void awaitLoad(RawClient client, String load) throws IOException {
        try (client) {
            long deadline = System.nanoTime() + 20_000_000_000L;
            String response;
            do {
                client.write("GET /_load HTTP/1.1\r\nHost: h\r\n\r\n");
                response = client.readResponse();
            } while (!response.contains(load) && System.nanoTime() < deadline);
            assertThat(response).contains(load);
        }
    }

    @Test
    void faultsAffectRequestsAndAreLogged() throws Exception {
        try (RawClient client = connect(0)) {
            beginFault("errors", 0, "");
            client.write(RawClient.request("list", "e0", null, null));
            assertThat(client.readResponse()).startsWith("HTTP/1.1 500");
        }
        beginFault("reset", 1, "");
        try (RawClient rawClient = connect(1)) {
            rawClient.write(RawClient.request("list", "e1", null, null));
            assertThatThrownBy(() -> {
                        String response;
                        while ((response = rawClient.readResponse()) != null) {
                            assertThat(response).doesNotContain("id=e1 host=s-1 len=0 crc=0");
                        }
                        throw new SocketException("ended");
                    })
                    .isInstanceOf(IOException.class);
        }
        assertThat(records(HostExecution.class))
                .extracting(HostExecution::result)
                .containsExactly(ExecutionResult.ERROR, ExecutionResult.RESET);
    }

    @Test
    void faultIsConfirmedAfterHostApplied() throws Exception {
        CountDownLatch loopReleased = new CountDownLatch(1);
        cluster.host("s-0").loop().execute(() -> awaitQuietly(loopReleased));
        try (RawClient controlClient = new RawClient(cluster.controlAddress())) {
            String toml = "[[fault]]\nkind = \"errors\"\nhost = \"s-0\"\n";
            controlClient.write(
                    "POST /faults HTTP/1.1\r\nHost: h\r\nContent-Length: " + toml.length() + "\r\n\r\n" + toml);
            // Handled by the same event loop, after the request above was read there.
            assertThat(postFault("[[fault]]\nkind = \"errors\"\nhost = \"s-9\"\n"))
                    .startsWith("HTTP/1.1 400");
            assertThat(controlClient.socket.getInputStream().available()).isZero();
            loopReleased.countDown();
            assertThat(controlClient.readResponse()).startsWith("HTTP/1.1 200").endsWith("1 begun\n");
        } finally {
            loopReleased.countDown();
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void unresponsiveHostNeverRespondsAndPausedHostRespondsLate() throws Exception {
        beginFault("hang", 0, "");
        beginFault("pause", 1, "for_s = 0.3");
        try (RawClient unresponsive = connect(0);
                RawClient paused = connect(1)) {
            unresponsive.write(RawClient.request("list", "f0", null, null));
            paused.write(RawClient.request("list", "f1", null, null));
            assertThat(paused.readResponse()).contains("id=f1");
            unresponsive.socket.setSoTimeout(50);
            assertThatThrownBy(unresponsive::readResponse).isInstanceOf(java.net.SocketTimeoutException.class);
        }
        List<HostExecution> executions = records(HostExecution.class);
        assertThat(executions)
                .anyMatch(execution -> execution.requestId().equals("f0")
                        && execution.result() == ExecutionResult.HUNG
                        && execution.mayHaveRun());
        assertThat(executions)
                .anyMatch(hostExecution ->
                        hostExecution.requestId().equals("f1") && hostExecution.result() == ExecutionResult.DONE);
    }

    @Test
    void killedHostRestartsUnderNewIdAndWatchIsNotified() throws Exception {
        try (RawClient watch = new RawClient(cluster.discoveryAddress());
                RawClient client = connect(0)) {
            watch.write("GET /catalog/members?follow=1&since=1 HTTP/1.1\r\nHost: h\r\n\r\n");
            client.write(RawClient.request("claim", "g0", null, "x"));
            awaitLoad(connect(0), "inflight=1");
            InetSocketAddress address = cluster.address("s-0");
            beginFault("kill", 0, "restart_s = 0.2\nnew_id = true");
            assertThatThrownBy(client::readResponse).isInstanceOf(SocketException.class);
            assertThatThrownBy(() -> new RawClient(address).close()).isInstanceOf(ConnectException.class);
            assertThat(awaitState(watch, "s-0")).isEqualTo("removed");
            assertThat(awaitState(watch, "s-0+1")).isEqualTo("up");
            assertThat(cluster.address("s-0+1")).isEqualTo(address);
            try (RawClient newClient = new RawClient(address)) {
                newClient.write(RawClient.request("list", "g1", null, null));
                assertThat(newClient.readResponse()).contains("host=s-0+1");
            }
        }
        assertThat(records(HostExecution.class))
                .anyMatch(execution ->
                        execution.requestId().equals("g0") && execution.result() == ExecutionResult.KILLED);
    }

    /** Returns the next state of a host that the watch receives. */
    private static String awaitState(RawClient watch, String host) throws IOException {
        String line;
        while ((line = watch.readLine()) != null) {
            if (line.startsWith("{")) {
                JsonNode event = new ObjectMapper().readTree(line);
                for (JsonNode node : event.path("servers")) {
                    if (node.path("id").asText().equals(host)) {
                        return node.path("state").asText();
                    }
                }
            }
        }
        throw new IOException("the watch ended");
    }

    @Test
    void drainingHostIsAnnouncedAndStopsWhenIdle() throws Exception {
        try (RawClient watch = new RawClient(cluster.discoveryAddress());
                RawClient client = connect(0)) {
            watch.write("GET /catalog/members?follow=1&since=0 HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThat(awaitState(watch, "s-0")).isEqualTo("up");
            client.write(RawClient.request("claim", "h0", null, "x"));
            awaitLoad(connect(0), "inflight=1");
            beginFault("drain", 0, "for_s = 0.05");
            assertThat(awaitState(watch, "s-0")).isEqualTo("draining");
            assertThat(client.readResponse()).contains("id=h0"); // a draining host completes its requests
            assertThat(awaitState(watch, "s-0")).isEqualTo("removed");
        }
        assertThat(records(WatchNotification.class))
                .filteredOn(notification ->
                        notification.watcher() == 1 && notification.host().equals("s-0"))
                .extracting(WatchNotification::state)
                .containsExactly("up", "draining", "removed");
    }

    @Test
    void staleDiscoveryWithholdsChangesUntilFaultEnds() throws Exception {
        assertThat(postFault("[[fault]]\nkind = \"discovery-stale\"\nfor_s = 0.4\n"))
                .contains("1 begun");
        try (RawClient watch = new RawClient(cluster.discoveryAddress())) {
            watch.write("GET /catalog/members?follow=1&since=1 HTTP/1.1\r\nHost: h\r\n\r\n");
            beginFault("kill", 0, "");
            assertThat(awaitState(watch, "s-0")).isEqualTo("removed");
        }
        List<LogRecord> records = records(LogRecord.class);
        int faultEndIndex = -1;
        int notificationIndex = -1;
        for (int i = 0; i < records.size(); i++) {
            if (records.get(i) instanceof HostEvent event
                    && event.host().equals("discovery")
                    && event.kind() == HostEvent.Kind.FAULT_ENDED) {
                faultEndIndex = i;
            } else if (records.get(i) instanceof WatchNotification notification
                    && notification.watcher() > 0
                    && notification.host().equals("s-0")) {
                notificationIndex = i;
            }
        }
        assertThat(notificationIndex).isGreaterThan(0);
        // The end of the fault is logged right after the changes that it releases.
        assertThat(faultEndIndex).isBetween(notificationIndex, notificationIndex + 2);
    }

    @Test
    void killedHostRestartsUnderSameIdWarmingUp() throws Exception {
        long before = System.currentTimeMillis();
        try (RawClient watch = new RawClient(cluster.discoveryAddress())) {
            watch.write("GET /catalog/members?follow=1&since=1 HTTP/1.1\r\nHost: h\r\n\r\n");
            beginFault("kill", 1, "restart_s = 0.1");
            assertThat(awaitState(watch, "s-1")).isEqualTo("removed");
            assertThat(awaitState(watch, "s-1")).isEqualTo("up");
        }
        try (RawClient client = new RawClient(cluster.discoveryAddress())) {
            client.write("GET /catalog/members HTTP/1.1\r\nHost: h\r\n\r\n");
            JsonNode list = new ObjectMapper().readTree(client.readResponse().split("\r\n\r\n", 2)[1]);
            for (JsonNode node : list.path("servers")) {
                long started = node.path("started_ms").asLong();
                assertThat(started)
                        .isGreaterThanOrEqualTo(node.path("id").asText().equals("s-1") ? before : 0);
            }
            assertThat(list.path("servers")).hasSize(2);
        }
        assertThat(records(HostEvent.class))
                .filteredOn(event -> event.host().equals("s-1") && event.kind() == HostEvent.Kind.STARTED)
                .extracting(HostEvent::startsCold)
                .containsExactly(false, true);
    }

    @Test
    void malformedResponseIsLoggedAsRunAndSlowHostTakesLonger() throws Exception {
        beginFault("garble", 0, "");
        try (RawClient client = connect(0)) {
            client.socket.setSoTimeout(200);
            client.write(RawClient.request("list", "i0", null, null));
            String response = null;
            try {
                response = client.readResponse();
            } catch (IOException | RuntimeException e) {
                // the malformed response was incomplete or not parseable
            }
            if (response != null) {
                assertThat(response).doesNotContain("id=i0 host=s-0 len=0 crc=0");
            }
        }
        beginFault("slow", 1, "size = 400");
        try (RawClient rawClient = connect(1)) {
            rawClient.write(RawClient.request("list", "i1", null, null));
            assertThat(rawClient.readResponse()).contains("id=i1");
        }
        for (HostExecution execution : records(HostExecution.class)) {
            assertThat(execution.result())
                    .isEqualTo(execution.requestId().equals("i0") ? ExecutionResult.GARBLED : ExecutionResult.DONE);
            if (execution.requestId().equals("i1")) {
                assertThat(execution.endedAt() - execution.startedAt()).isGreaterThanOrEqualTo(399_000);
            }
        }
    }

    @Test
    void newConnectionWaitsForHandshake() throws Exception {
        stop();
        requestLog = RequestLogWriter.open(logFile(), new LogHeader("hosts", 1, 1));
        cluster = new TestCluster(
                TestClusterPlanReader.parse(
                        "t", HOSTS.replace("[hosts]", "[hosts]\nhandshake_ms = 150\nhandshake_work_ms = 60"), 0),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                1,
                requestLog,
                System.err);
        cluster.start();
        try (RawClient client = connect(0)) {
            for (int i = 0; i < 2; i++) {
                client.write(RawClient.request("list", "j" + i, null, null));
                assertThat(client.readResponse()).contains("id=j" + i);
            }
        }
        List<HostExecution> executions = records(HostExecution.class);
        assertThat(executions.get(0).startedAt() - executions.get(0).receivedAt())
                .isGreaterThan(100_000);
        assertThat(executions).extracting(HostExecution::result).containsOnly(ExecutionResult.DONE);
    }

    @Test
    void unresponsiveDiscoverySendsNothing() throws Exception {
        assertThat(postFault("[[fault]]\nkind = \"discovery-silent\"\n")).contains("1 begun");
        try (RawClient client = new RawClient(cluster.discoveryAddress())) {
            client.socket.setSoTimeout(100);
            client.write("GET /catalog/members?follow=1&since=0 HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThatThrownBy(client::readLine).isInstanceOf(java.net.SocketTimeoutException.class);
        }
    }

    @Test
    void invalidFaultIsRejectedWithItsLine() throws Exception {
        assertThat(postFault("[[fault]]\nkind = \"hnag\"\nhost = \"s-0\"\n"))
                .startsWith("HTTP/1.1 400")
                .contains("faults:2: fault[0].kind: found 'hnag'")
                .contains("did you mean 'hang'?");
        assertThat(postFault("[[fault]]\nkind = \"hang\"\nhost = \"s-9\"\n"))
                .startsWith("HTTP/1.1 400")
                .contains("no host 's-9'");
    }

    @Test
    void readyFileIsProxyConfiguration() {
        JsonNode ready = cluster.readyFile();
        assertThat(ready.path("known").path("servers")).hasSize(2);
        assertThat(ready.path("settings").path("classes")).hasSize(3);
        assertThat(ready.path("discovery").asText())
                .endsWith(":" + cluster.discoveryAddress().getPort());
        assertThat(ready.path("hosts").get(0).path("addr").asText())
                .endsWith(":" + cluster.address("s-0").getPort());
    }
}
