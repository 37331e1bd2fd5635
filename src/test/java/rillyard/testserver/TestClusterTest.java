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

/** Stand-ins on loopback, spoken to byte by byte; what they did is read from their request log. */
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

    private RequestLogWriter ledger;
    private TestCluster standIn;

    @BeforeEach
    void start() throws Exception {
        ledger = RequestLogWriter.open(file(), new LogHeader("hosts", 1, 1));
        standIn = new TestCluster(
                TestClusterPlanReader.parse("t", HOSTS, 0),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                1,
                ledger,
                System.err);
        standIn.start();
    }

    @AfterEach
    void stop() throws IOException {
        standIn.close();
        ledger.close();
    }

    private Path file() {
        return folder.resolve("hosts.jsonl");
    }

    private RawClient host(int n) throws IOException {
        return new RawClient(standIn.address("s-" + n));
    }

    /** Ends the test cluster and reads what it wrote down. */
    private <T extends LogRecord> List<T> ledger(Class<T> kind) throws Exception {
        stop();
        List<T> out = new ArrayList<>();
        assertThat(RequestLogReader.read(file(), "hosts", line -> {
                    if (kind.isInstance(line)) {
                        out.add(kind.cast(line));
                    }
                }))
                .isTrue();
        return out;
    }

    private String fault(String toml) throws IOException {
        try (RawClient client = new RawClient(standIn.control())) {
            client.write("POST /faults HTTP/1.1\r\nHost: h\r\nContent-Length: " + toml.length() + "\r\n\r\n" + toml);
            return client.answer();
        }
    }

    private void faulty(String kind, int host, String more) throws IOException {
        String answer = fault("[[fault]]\nkind = \"" + kind + "\"\nhost = \"s-" + host + "\"\n" + more + "\n");
        assertThat(answer).startsWith("HTTP/1.1 200").endsWith("1 begun\n");
    }

    @Test
    void anAnswerNamesItsRequestAndItsBody() throws Exception {
        try (RawClient client = host(0)) {
            client.write(RawClient.request("list", "a1", null, null));
            assertThat(client.answer())
                    .startsWith("HTTP/1.1 200")
                    .contains("X-Server-Load: inflight=")
                    .contains("id=a1 host=s-0 len=0 crc=0");
            client.write(RawClient.request("claim", "a2", null, "123456789"));
            assertThat(client.answer()).contains("id=a2 host=s-0 len=9 crc=cbf43926"); // the check value of CRC-32
            client.write("GET /ping HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThat(client.answer()).startsWith("HTTP/1.1 200");
            client.write("GET /list HTTP/1.1\r\nHost: h\r\n\r\n"); // no id
            assertThat(client.answer()).startsWith("HTTP/1.1 404");
        }
        assertThat(ledger(HostExecution.class))
                .extracting(HostExecution::requestId)
                .containsExactly("a1", "a2");
    }

    @Test
    void aKeyRunsOnceInItsCellWhicheverHostItComesTo() throws Exception {
        for (int i = 0; i < 2; i++) {
            try (RawClient client = host(i)) {
                client.write(RawClient.request("log", "b" + i, "k", "x"));
                assertThat(client.answer()).contains("id=b" + i);
            }
        }
        assertThat(ledger(HostExecution.class))
                .extracting(HostExecution::result)
                .containsExactly(ExecutionResult.DONE, ExecutionResult.REMEMBERED);
    }

    @Test
    void whatHasNoRoomIsTurnedAwayUnseen() throws Exception {
        List<RawClient> all = new ArrayList<>();
        for (int i = 0; i < 4; i++) { // one runs, one waits, one is too many; the fourth connection too
            RawClient client = host(0);
            all.add(client);
            client.write(RawClient.request("claim", "c" + i, null, "x"));
        }
        List<String> answers = new ArrayList<>();
        for (RawClient rawClient : all) {
            answers.add(rawClient.answer());
            rawClient.close();
        }
        assertThat(answers).filteredOn(a -> a.startsWith("HTTP/1.1 200")).hasSize(2);
        assertThat(answers)
                .filteredOn(a -> a.startsWith("HTTP/1.1 503") && a.contains("X-Not-Processed: 1"))
                .hasSize(2);
        assertThat(ledger(HostExecution.class))
                .filteredOn(execution -> execution.result() == ExecutionResult.TURNED_AWAY)
                .hasSize(2)
                .allMatch(hostExecution -> !hostExecution.mayHaveRun());
    }

    @Test
    void aClientThatLeavesIsWrittenDown() throws Exception {
        try (RawClient runs = host(0);
                RawClient waits = host(0)) {
            runs.write(RawClient.request("claim", "d0", null, "x"));
            runs.write(""); // in this order, as the second connection's bytes come after its own
            awaitLoad(host(0), "inflight=1");
            waits.write(RawClient.request("claim", "d1", null, "x"));
            awaitLoad(host(0), "inflight=2");
        }
        awaitLoad(host(0), "inflight=0");
        List<HostExecution> runs = ledger(HostExecution.class);
        assertThat(runs).extracting(HostExecution::requestId).containsExactlyInAnyOrder("d0", "d1");
        for (HostExecution execution : runs) {
            assertThat(execution.result())
                    .isEqualTo(execution.requestId().equals("d0") ? ExecutionResult.LEFT : ExecutionResult.DROPPED);
        }
    }

    private static void awaitLoad(RawClient client, String load) throws IOException {
        try (client) {
            long until = System.nanoTime() + 20_000_000_000L;
            String answer;
            do {
                client.write("GET /_load HTTP/1.1\r\nHost: h\r\n\r\n");
                answer = client.answer();
            } while (!answer.contains(load) && System.nanoTime() < until);
            assertThat(answer).contains(load);
        }
    }

    @Test
    void faultsAreDoneToRequestsAndWrittenDown() throws Exception {
        try (RawClient client = host(0)) {
            faulty("errors", 0, "");
            client.write(RawClient.request("list", "e0", null, null));
            assertThat(client.answer()).startsWith("HTTP/1.1 500");
        }
        faulty("reset", 1, "");
        try (RawClient rawClient = host(1)) {
            rawClient.write(RawClient.request("list", "e1", null, null));
            assertThatThrownBy(() -> {
                        String a;
                        while ((a = rawClient.answer()) != null) {
                            assertThat(a).doesNotContain("id=e1 host=s-1 len=0 crc=0");
                        }
                        throw new SocketException("ended");
                    })
                    .isInstanceOf(IOException.class);
        }
        assertThat(ledger(HostExecution.class))
                .extracting(HostExecution::result)
                .containsExactly(ExecutionResult.ERROR, ExecutionResult.RESET);
    }

    @Test
    void aFaultIsCalledBegunOnceItsHostHasIt() throws Exception {
        CountDownLatch free = new CountDownLatch(1);
        standIn.host("s-0").loop().execute(() -> awaitQuietly(free));
        try (RawClient asks = new RawClient(standIn.control())) {
            String toml = "[[fault]]\nkind = \"errors\"\nhost = \"s-0\"\n";
            asks.write("POST /faults HTTP/1.1\r\nHost: h\r\nContent-Length: " + toml.length() + "\r\n\r\n" + toml);
            // Answered on the same loop, after the question above was read there.
            assertThat(fault("[[fault]]\nkind = \"errors\"\nhost = \"s-9\"\n")).startsWith("HTTP/1.1 400");
            assertThat(asks.socket.getInputStream().available()).isZero();
            free.countDown();
            assertThat(asks.answer()).startsWith("HTTP/1.1 200").endsWith("1 begun\n");
        } finally {
            free.countDown();
        }
    }

    private static void awaitQuietly(CountDownLatch l) {
        try {
            l.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void aHostThatHangsAnswersNothingAndAPauseOnlyWaits() throws Exception {
        faulty("hang", 0, "");
        faulty("pause", 1, "for_s = 0.3");
        try (RawClient hung = host(0);
                RawClient paused = host(1)) {
            hung.write(RawClient.request("list", "f0", null, null));
            paused.write(RawClient.request("list", "f1", null, null));
            assertThat(paused.answer()).contains("id=f1");
            hung.socket.setSoTimeout(50);
            assertThatThrownBy(hung::answer).isInstanceOf(java.net.SocketTimeoutException.class);
        }
        List<HostExecution> runs = ledger(HostExecution.class);
        assertThat(runs)
                .anyMatch(execution -> execution.requestId().equals("f0")
                        && execution.result() == ExecutionResult.HUNG
                        && execution.mayHaveRun());
        assertThat(runs)
                .anyMatch(hostExecution ->
                        hostExecution.requestId().equals("f1") && hostExecution.result() == ExecutionResult.DONE);
    }

    @Test
    void aHostThatIsKilledComesBackUnderAnotherIdAndDiscoveryTells() throws Exception {
        try (RawClient watch = new RawClient(standIn.discovery());
                RawClient client = host(0)) {
            watch.write("GET /catalog/members?follow=1&since=1 HTTP/1.1\r\nHost: h\r\n\r\n");
            client.write(RawClient.request("claim", "g0", null, "x"));
            awaitLoad(host(0), "inflight=1");
            InetSocketAddress was = standIn.address("s-0");
            faulty("kill", 0, "restart_s = 0.2\nnew_id = true");
            assertThatThrownBy(client::answer).isInstanceOf(SocketException.class);
            assertThatThrownBy(() -> new RawClient(was).close()).isInstanceOf(ConnectException.class);
            assertThat(told(watch, "s-0")).isEqualTo("removed");
            assertThat(told(watch, "s-0+1")).isEqualTo("up");
            assertThat(standIn.address("s-0+1")).isEqualTo(was);
            try (RawClient again = new RawClient(was)) {
                again.write(RawClient.request("list", "g1", null, null));
                assertThat(again.answer()).contains("host=s-0+1");
            }
        }
        assertThat(ledger(HostExecution.class))
                .anyMatch(execution ->
                        execution.requestId().equals("g0") && execution.result() == ExecutionResult.KILLED);
    }

    /** The next state of a host that the watch is told. */
    private static String told(RawClient watch, String host) throws IOException {
        String line;
        while ((line = watch.line()) != null) {
            if (line.startsWith("{")) {
                JsonNode news = new ObjectMapper().readTree(line);
                for (JsonNode node : news.path("servers")) {
                    if (node.path("id").asText().equals(host)) {
                        return node.path("state").asText();
                    }
                }
            }
        }
        throw new IOException("the watch ended");
    }

    @Test
    void aHostThatDrainsIsToldOfAndStopsWhenItIsDone() throws Exception {
        try (RawClient watch = new RawClient(standIn.discovery());
                RawClient client = host(0)) {
            watch.write("GET /catalog/members?follow=1&since=0 HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThat(told(watch, "s-0")).isEqualTo("up");
            client.write(RawClient.request("claim", "h0", null, "x"));
            awaitLoad(host(0), "inflight=1");
            faulty("drain", 0, "for_s = 0.05");
            assertThat(told(watch, "s-0")).isEqualTo("draining");
            assertThat(client.answer()).contains("id=h0"); // it has what it had, and finishes it
            assertThat(told(watch, "s-0")).isEqualTo("removed");
        }
        assertThat(ledger(WatchNotification.class))
                .filteredOn(notification ->
                        notification.watcher() == 1 && notification.host().equals("s-0"))
                .extracting(WatchNotification::state)
                .containsExactly("up", "draining", "removed");
    }

    @Test
    void aStaleDiscoveryTellsNothingNewUntilItIsOver() throws Exception {
        assertThat(fault("[[fault]]\nkind = \"discovery-stale\"\nfor_s = 0.4\n"))
                .contains("1 begun");
        try (RawClient watch = new RawClient(standIn.discovery())) {
            watch.write("GET /catalog/members?follow=1&since=1 HTTP/1.1\r\nHost: h\r\n\r\n");
            faulty("kill", 0, "");
            assertThat(told(watch, "s-0")).isEqualTo("removed");
        }
        List<LogRecord> lines = ledger(LogRecord.class);
        int ends = -1;
        int told = -1;
        for (int i = 0; i < lines.size(); i++) {
            if (lines.get(i) instanceof HostEvent event
                    && event.host().equals("discovery")
                    && event.kind() == HostEvent.Kind.FAULT_ENDED) {
                ends = i;
            } else if (lines.get(i) instanceof WatchNotification notification
                    && notification.watcher() > 0
                    && notification.host().equals("s-0")) {
                told = i;
            }
        }
        assertThat(told).isGreaterThan(0);
        // The fault's end is written right behind what it lets through.
        assertThat(ends).isBetween(told, told + 2);
    }

    @Test
    void aHostThatIsKilledMayComeBackUnderTheSameIdColdAndWithAFreshStart() throws Exception {
        long before = System.currentTimeMillis();
        try (RawClient watch = new RawClient(standIn.discovery())) {
            watch.write("GET /catalog/members?follow=1&since=1 HTTP/1.1\r\nHost: h\r\n\r\n");
            faulty("kill", 1, "restart_s = 0.1");
            assertThat(told(watch, "s-1")).isEqualTo("removed");
            assertThat(told(watch, "s-1")).isEqualTo("up");
        }
        try (RawClient client = new RawClient(standIn.discovery())) {
            client.write("GET /catalog/members HTTP/1.1\r\nHost: h\r\n\r\n");
            JsonNode list = new ObjectMapper().readTree(client.answer().split("\r\n\r\n", 2)[1]);
            for (JsonNode node : list.path("servers")) {
                long started = node.path("started_ms").asLong();
                assertThat(started)
                        .isGreaterThanOrEqualTo(node.path("id").asText().equals("s-1") ? before : 0);
            }
            assertThat(list.path("servers")).hasSize(2);
        }
        assertThat(ledger(HostEvent.class))
                .filteredOn(event -> event.host().equals("s-1") && event.kind() == HostEvent.Kind.STARTED)
                .extracting(HostEvent::startsCold)
                .containsExactly(false, true);
    }

    @Test
    void aSpoiltAnswerRanAndASlowHostTakesLonger() throws Exception {
        faulty("garble", 0, "");
        try (RawClient client = host(0)) {
            client.socket.setSoTimeout(200);
            client.write(RawClient.request("list", "i0", null, null));
            String answer = null;
            try {
                answer = client.answer();
            } catch (IOException | RuntimeException e) {
                // half an answer, or one that a reader of answers can't read
            }
            if (answer != null) {
                assertThat(answer).doesNotContain("id=i0 host=s-0 len=0 crc=0");
            }
        }
        faulty("slow", 1, "size = 400");
        try (RawClient rawClient = host(1)) {
            rawClient.write(RawClient.request("list", "i1", null, null));
            assertThat(rawClient.answer()).contains("id=i1");
        }
        for (HostExecution execution : ledger(HostExecution.class)) {
            assertThat(execution.result())
                    .isEqualTo(execution.requestId().equals("i0") ? ExecutionResult.GARBLED : ExecutionResult.DONE);
            if (execution.requestId().equals("i1")) {
                assertThat(execution.endedAt() - execution.startedAt()).isGreaterThanOrEqualTo(399_000);
            }
        }
    }

    @Test
    void aNewConnectionWaitsForItsHandshakeAndCostsTheHostWork() throws Exception {
        stop();
        ledger = RequestLogWriter.open(file(), new LogHeader("hosts", 1, 1));
        standIn = new TestCluster(
                TestClusterPlanReader.parse(
                        "t", HOSTS.replace("[hosts]", "[hosts]\nhandshake_ms = 150\nhandshake_work_ms = 60"), 0),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                1,
                ledger,
                System.err);
        standIn.start();
        try (RawClient client = host(0)) {
            for (int i = 0; i < 2; i++) {
                client.write(RawClient.request("list", "j" + i, null, null));
                assertThat(client.answer()).contains("id=j" + i);
            }
        }
        List<HostExecution> runs = ledger(HostExecution.class);
        assertThat(runs.get(0).startedAt() - runs.get(0).receivedAt()).isGreaterThan(100_000);
        assertThat(runs).extracting(HostExecution::result).containsOnly(ExecutionResult.DONE);
    }

    @Test
    void aSilentDiscoverySaysNothingAtAll() throws Exception {
        assertThat(fault("[[fault]]\nkind = \"discovery-silent\"\n")).contains("1 begun");
        try (RawClient client = new RawClient(standIn.discovery())) {
            client.socket.setSoTimeout(100);
            client.write("GET /catalog/members?follow=1&since=0 HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThatThrownBy(client::line).isInstanceOf(java.net.SocketTimeoutException.class);
        }
    }

    @Test
    void aFaultThatIsNoneIsRefusedWithItsLine() throws Exception {
        assertThat(fault("[[fault]]\nkind = \"hnag\"\nhost = \"s-0\"\n"))
                .startsWith("HTTP/1.1 400")
                .contains("faults:2: fault[0].kind: found 'hnag'")
                .contains("did you mean 'hang'?");
        assertThat(fault("[[fault]]\nkind = \"hang\"\nhost = \"s-9\"\n"))
                .startsWith("HTTP/1.1 400")
                .contains("no host 's-9'");
    }

    @Test
    void theReadyFileIsAConfigurationOfAProxy() {
        JsonNode ready = standIn.ready();
        assertThat(ready.path("known").path("servers")).hasSize(2);
        assertThat(ready.path("settings").path("classes")).hasSize(3);
        assertThat(ready.path("discovery").asText())
                .endsWith(":" + standIn.discovery().getPort());
        assertThat(ready.path("hosts").get(0).path("addr").asText())
                .endsWith(":" + standIn.address("s-0").getPort());
    }
}
