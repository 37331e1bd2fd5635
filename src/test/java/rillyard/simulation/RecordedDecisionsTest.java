package rillyard.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.GZIPInputStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against unintended changes of decisions: replays events that were recorded on the simulator's wire with
 * revision 9259448 and compares the decisions byte for byte with those of that revision. Six instances and 24 hosts run
 * for 43 s, with unresponsive, failing, lossy and full hosts, a load surge, draining hosts, hosts that restart and warm
 * up, failed watches and a restarted instance. Only the texts of log lines may differ.
 */
class RecordedDecisionsTest {
    private static final String FOLDER = "/recorded-decisions/";

    @Test
    void recordedEventsLeadToTheRecordedDecisions() throws IOException {
        byte[] events = read("events.txt.gz");
        ByteArrayOutputStream actions = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();

        new SimulatorSession(
                        new ByteArrayInputStream(events),
                        actions,
                        new PrintStream(errors, true, StandardCharsets.UTF_8))
                .run();

        List<String> recorded = withoutLogTexts(read("actions.txt.gz"));
        assertThat(recorded).hasSizeGreaterThan(20_000);
        assertThat(withoutLogTexts(actions.toByteArray())).isEqualTo(recorded);
        assertThat(errors.size()).isZero();
    }

    private static byte[] read(String name) throws IOException {
        try (InputStream in = RecordedDecisionsTest.class.getResourceAsStream(FOLDER + name)) {
            return new GZIPInputStream(in).readAllBytes();
        }
    }

    private static List<String> withoutLogTexts(byte[] actions) throws IOException {
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(new ByteArrayInputStream(actions), StandardCharsets.UTF_8))) {
            return lines.lines()
                    .map(line -> line.replaceFirst("^(say_log who=\\d+) text=.*", "$1"))
                    .toList();
        }
    }
}
