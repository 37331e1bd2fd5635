package rillyard.trace;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.trace.TraceEvent.Kind;

/**
 * Tests how the lines of a trace are written and parsed.
 *
 * <p>Guards against events that are lost or wrong in an analysis because a log holds other lines, a line of a killed
 * process is incomplete, or a host name contains a separator.
 */
class TraceEventTest {
    @Test
    void writtenEventIsParsedWhateverPrecedesIt() {
        TraceEvent event = new TraceEvent(1_764_604_800_123L, Kind.ATTEMPT, "s-1", "FULL", 12, true);
        assertThat(TraceEvent.parse(event.text())).isEqualTo(event);
        assertThat(TraceEvent.parse("12.5 n3 | " + event.text())).isEqualTo(event);
    }

    @Test
    void otherLinesAreNoEventsAndTruncatedOnesAreRejected() {
        assertThat(TraceEvent.parse("rillyard: draining")).isNull();
        String line = new TraceEvent(1, Kind.CLOSED, "s-1", TraceEvent.NONE, 0, false).text();
        for (int length = "rillyard: trace ".length(); length < line.length(); length++) {
            String truncated = line.substring(0, length);
            assertThatIllegalArgumentException().as(truncated).isThrownBy(() -> TraceEvent.parse(truncated));
        }
        assertThatIllegalArgumentException().isThrownBy(() -> TraceEvent.parse(line.replace("closed", "shut")));
    }

    @Test
    void hostNameBreaksNeitherFieldsNorLines() {
        String text = new TraceEvent(1, Kind.CLOSED, "a b\nrillyard: trace 1 list", TraceEvent.NONE, 0, false).text();
        assertThat(text).doesNotContain("\n");
        assertThat(TraceEvent.parse(text).host()).isEqualTo("a_b_rillyard:_trace_1_list");
    }

    @Test
    void traceRecordsEventsInOrder() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        ProxyTrace trace = new ProxyTrace(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        trace.record(Kind.CONNECTED, "s-1");
        trace.recordAttempt("s-1", Kind.LIST.name(), 11.6, true); // any word can be the outcome
        trace.recordRejection(Kind.REFUSED, null);
        List<TraceEvent> lines = bytes.toString(StandardCharsets.UTF_8)
                .lines()
                .map(TraceEvent::parse)
                .toList();
        assertThat(lines)
                .extracting(TraceEvent::kind)
                .containsExactly(Kind.STARTED, Kind.CONNECTED, Kind.ATTEMPT, Kind.REFUSED);
        assertThat(lines.get(2).durationMillis()).isEqualTo(12);
        assertThat(lines.get(2).warmingUp()).isTrue();
        assertThat(lines.get(3).detail()).isEqualTo(TraceEvent.NONE);
    }
}
