package rillyard.benchmark;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rillyard.trace.TraceEvent;
import rillyard.trace.TraceEvent.Kind;

/** Tests statistics over the logs of several proxies, merged by time. */
class FleetTraceStatisticsTest {
    private final FleetTraceStatistics count = new FleetTraceStatistics(1_000, 500);

    private static String did(long at, Kind what, String host) {
        return new TraceEvent(at, what, host, TraceEvent.NONE, 0, false).text() + "\n";
    }

    private static String attempt(long sent, long spent, String host, String how, boolean cold) {
        return new TraceEvent(sent + spent, Kind.ATTEMPT, host, how, spent, cold).text() + "\n";
    }

    private void log(String proxy, String text) throws IOException {
        count.read(proxy, new BufferedReader(new StringReader(text)));
    }

    @Test
    void openConnectionsAreSummedOverAllProxies() throws Exception {
        log("n1", did(0, Kind.STARTED, "-") + did(10, Kind.CONNECTED, "a") + did(40, Kind.CLOSED, "a"));
        log("n2", did(0, Kind.STARTED, "-") + did(20, Kind.CONNECTED, "a") + did(30, Kind.CONNECT_FAILED, "a"));
        log("n3", did(0, Kind.STARTED, "-") + did(50, Kind.CONNECTED, "a"));
        FleetTraceStatistics.HostCount counts = count.sum().host("a");
        assertThat(counts.connects).isEqualTo(3);
        assertThat(counts.failedConnects).isEqualTo(1);
        assertThat(counts.maxOpen).isEqualTo(2);
        assertThat(counts.open).isEqualTo(2);
    }

    @Test
    void restartedProxyHasNoOpenConnections() throws Exception {
        log(
                "n1",
                did(0, Kind.STARTED, "-")
                        + did(1, Kind.CONNECTED, "a")
                        + did(2, Kind.CONNECTED, "b")
                        + did(3, Kind.STARTED, "-")
                        + did(4, Kind.CONNECTED, "a"));
        assertThat(count.sum().host("a").maxOpen).isEqualTo(1);
        assertThat(count.host("b").open).isZero();
        assertThat(count.starts()).isEqualTo(2);
    }

    @Test
    void workAtWarmingUpHostIsSummedOverFleetBySendTime() throws Exception {
        log(
                "n1",
                attempt(0, 900, "a", "OK", true)
                        + attempt(499, 1, "a", "TIMEOUT", true)
                        + attempt(300, 1, "a", "CONNECT_FAILED", true)
                        + attempt(300, 1, "a", "MOOT", true) // nothing was sent
                        + attempt(500, 1, "a", "OK", true)
                        + attempt(510, 1, "a", "OK", false));
        log("n2", attempt(250, 700, "a", "OK", true) + attempt(2_000, 1, "a", "OK", true));
        FleetTraceStatistics.HostCount counts = count.sum().host("a");
        assertThat(counts.attempts).isEqualTo(8);
        assertThat(counts.sendsWhileWarmingUp).hasSize(5);
        assertThat(counts.maxSendsWithin(500)).isEqualTo(3); // 0, 250, 499; and 250, 499, 500
    }

    @Test
    void rejectionsAreCountedByPrecedingEvent() throws Exception {
        log(
                "n1",
                new TraceEvent(5, Kind.REFUSED, "-", "FULL", 0, false).text() + "\n" + did(6, Kind.REFUSED, "-")
                        + "something else\n" + did(7, Kind.LIST, "-").substring(0, 30));
        assertThat(count.sum().rejectionsByLastResult()).isEqualTo(Map.of("FULL", 1, "-", 1));
        assertThat(count.tornLines()).isEqualTo(1);
    }

    @Test
    void printedTablesContainSums() throws Exception {
        log(
                "n1",
                attempt(0, 5, "a", "OK", false)
                        + attempt(1_500, 5, "a", "FULL", false)
                        + attempt(1_500, 6, "b", "RESET", false)
                        + did(1_600, Kind.REFUSED, "-"));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        count.print(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        assertThat(bytes.toString(StandardCharsets.UTF_8))
                .contains("| attempts by result | FULL 1, OK 1, RESET 1 |")
                .contains("| attempts | 1.5 | 2 |")
                .contains("| 0.0 | 1 | 1 | 0 | 0 | 0 |")
                .contains("| 1.0 | 2 | 0 | 1 | 1 | 1 |");
    }
}
