package rillyard.requestlog;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rillyard.config.InvalidConfigException;

/** Tests that request logs are written completely and read back, and that malformed ones are rejected. */
class RequestLogTest {
    private static final List<LogRecord> RECORDS = List.of(
            new ClientAttempt(
                    7, 1, "ab", "k", "claim", "t", 3, 10, 11, 12, 400_000, ClientOutcome.REFUSED, 503, 9, false),
            new ClientAttempt(
                    8, 0, "ac", null, "list", null, 3, 10, 11, 12, 400_000, ClientOutcome.SERVED, 200, 0, true),
            new UnexpectedResponse(5, "ab"),
            new HostExecution("ab", "k", "claim", "s-1", 2, "z1", 1, 10, 11, 12, 13, ExecutionResult.DONE),
            new HostEvent(4, "s-1", HostEvent.Kind.STARTED, null, 3.5, 0.25, 8_000),
            new HostEvent(4, "s-1", HostEvent.Kind.FAULT, "slow x4"),
            new WatchNotification(6, 1, "s-1", "draining", 4));

    @TempDir
    Path folder;

    private Path file() {
        return folder.resolve("l.jsonl");
    }

    private static LogHeader header() {
        return new LogHeader("hosts", 1, 42);
    }

    @Test
    void writtenRecordsAreReadBack() throws Exception {
        try (RequestLogWriter writer = RequestLogWriter.open(file(), header())) {
            RECORDS.forEach(writer::append);
        }
        List<LogRecord> read = new ArrayList<>();
        assertThat(RequestLogReader.read(file(), "hosts", read::add)).isTrue();
        assertThat(read).isEqualTo(RECORDS);
    }

    @Test
    void concurrentWritersProduceCompleteLines() throws Exception {
        int threads = 8;
        int recordsPerThread = 5_000;
        try (RequestLogWriter writer = RequestLogWriter.open(file(), header())) {
            List<Thread> all = new ArrayList<>();
            for (int i = 0; i < threads; i++) {
                Thread thread = new Thread(() -> {
                    for (int n = 0; n < recordsPerThread; n++) {
                        writer.append(RECORDS.get(n % RECORDS.size()));
                    }
                });
                thread.start();
                all.add(thread);
            }
            for (Thread thread : all) {
                thread.join();
            }
        }
        int[] count = new int[1];
        assertThat(RequestLogReader.read(file(), "hosts", line -> count[0]++)).isTrue();
        assertThat(count[0]).isEqualTo(threads * recordsPerThread);
    }

    @Test
    void flushedButUnclosedLogIsReportedIncomplete() throws Exception {
        RequestLogWriter writer = RequestLogWriter.open(file(), header());
        writer.append(RECORDS.get(0));
        writer.flush();
        long untilNanos = System.nanoTime() + 20_000_000_000L;
        while (Files.size(file()) == 0 && System.nanoTime() < untilNanos) {
            Thread.onSpinWait();
        }
        List<LogRecord> read = new ArrayList<>();
        assertThat(RequestLogReader.read(file(), "hosts", read::add)).isFalse();
        assertThat(read).containsExactly(RECORDS.get(0));
        writer.close();
        writer.append(RECORDS.get(1)); // is ignored: the log is closed
        assertThat(RequestLogReader.read(file(), "hosts", line -> {})).isTrue();
    }

    @Test
    void malformedLogIsRejectedWithLineNumber() throws Exception {
        String header = "{\"k\":\"head\",\"version\":1,\"of\":\"hosts\",\"at\":1,\"seed\":2}\n";
        for (String[] testCase : new String[][] {
            {"", ": empty, expected a request log of hosts"},
            {"{\"k\":\"head\",\"version\":9,\"of\":\"hosts\",\"at\":1,\"seed\":2}\n", ":1: version: found 9, expected 1"
            },
            {header.replace("hosts", "clients"), ":1: expected the header of a request log of hosts"},
            {header + "{\"k\":\"told\"}\n", ":2: at: found nothing, expected a whole number"},
            {header + "{\"k\":\"else\"}\n", ":2: k: found \"else\", expected head"},
            {header + "{\"k\":\"told\",\"at\":1,\"wat", ":2: expected a JSON object"}
        }) {
            Files.writeString(file(), testCase[0]);
            assertThatThrownBy(() -> RequestLogReader.read(file(), "hosts", line -> {}))
                    .isInstanceOf(InvalidConfigException.class)
                    .hasMessageContaining(file() + testCase[1]);
        }
    }

    @Test
    void unixClockIsMonotonicAndMatchesWallClock() {
        long earlier = UnixClock.micros();
        long later = UnixClock.micros();
        assertThat(later).isGreaterThanOrEqualTo(earlier);
        assertThat(Math.abs(earlier / 1_000 - System.currentTimeMillis())).isLessThan(60_000);
    }
}
