package rillyard.trace;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.trace.TraceLine.What;

class TraceLineTest {
    @Test
    void isReadAsItWasWrittenWhateverStandsBeforeIt() {
        TraceLine l = new TraceLine(1_764_604_800_123L, What.ATTEMPT, "s-1", "FULL", 12, true);
        assertThat(TraceLine.read(l.text())).isEqualTo(l);
        assertThat(TraceLine.read("12.5 n3 | " + l.text())).isEqualTo(l);
    }

    @Test
    void otherLinesAreNoneAndTornOnesAreSaid() {
        assertThat(TraceLine.read("rillyard: draining")).isNull();
        String whole = new TraceLine(1, What.CLOSED, "s-1", TraceLine.NONE, 0, false).text();
        for (int n = "rillyard: trace ".length(); n < whole.length(); n++) {
            String torn = whole.substring(0, n);
            assertThatIllegalArgumentException().as(torn).isThrownBy(() -> TraceLine.read(torn));
        }
        assertThatIllegalArgumentException().isThrownBy(() -> TraceLine.read(whole.replace("closed", "shut")));
    }

    @Test
    void aNameFromOutsideMakesNeitherFieldsNorLines() {
        String text = new TraceLine(1, What.CLOSED, "a b\nrillyard: trace 1 list", TraceLine.NONE, 0, false).text();
        assertThat(text).doesNotContain("\n");
        assertThat(TraceLine.read(text).host()).isEqualTo("a_b_rillyard:_trace_1_list");
    }

    @Test
    void aTraceSaysWhatWasDone() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        Trace t = new Trace(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        t.did(What.CONNECTED, "s-1");
        t.attempt("s-1", What.LIST, 11.6, true); // any enum's name does
        t.ended(What.REFUSED, null);
        List<TraceLine> lines = bytes.toString(StandardCharsets.UTF_8)
                .lines()
                .map(TraceLine::read)
                .toList();
        assertThat(lines)
                .extracting(TraceLine::what)
                .containsExactly(What.STARTED, What.CONNECTED, What.ATTEMPT, What.REFUSED);
        assertThat(lines.get(2).spent()).isEqualTo(12);
        assertThat(lines.get(2).cold()).isTrue();
        assertThat(lines.get(3).how()).isEqualTo(TraceLine.NONE);
    }
}
