package rillyard;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rillyard.hotrestart.DisabledHostStore;
import rillyard.loadgen.RunReport;
import rillyard.requestlog.LogRecord;
import rillyard.requestlog.RequestLogReader;
import rillyard.trace.TraceEvent;

/**
 * Guards against a change to the format of stored data: files written by revision 9259448 must still be read, and what
 * is written now must have the same format.
 */
class StoredDataTest {
    private static final Path SAMPLES = Path.of("src/test/resources/stored-9259448");
    private static final ObjectMapper JSON = new ObjectMapper();

    @TempDir
    Path folder;

    @ParameterizedTest
    @CsvSource({"clients.jsonl, clients, 120", "hosts.jsonl, hosts, 120"})
    void requestLogIsReadToItsEnd(String name, String kind, int atLeast) throws Exception {
        List<LogRecord> records = new ArrayList<>();

        boolean closed = RequestLogReader.read(SAMPLES.resolve(name), kind, records::add);

        assertThat(closed).isTrue();
        assertThat(records).hasSizeGreaterThan(atLeast);
    }

    @ParameterizedTest
    @CsvSource({"clients.jsonl", "hosts.jsonl"})
    void requestLogIsWrittenAsItWasRead(String name) throws Exception {
        for (String line : Files.readAllLines(SAMPLES.resolve(name))) {
            assertThat(written(LogRecord.read(JSON.readTree(line)))).isEqualTo(line);
        }
    }

    @Test
    void traceIsReadAndWrittenAsItWas() throws Exception {
        List<String> lines = Files.readAllLines(SAMPLES.resolve("trace.log"));

        List<String> written =
                lines.stream().map(TraceEvent::parse).map(TraceEvent::text).toList();

        assertThat(lines).hasSizeGreaterThan(100);
        assertThat(written).isEqualTo(lines);
    }

    @Test
    void folderOfDisabledHostsIsRead() throws Exception {
        long now = System.currentTimeMillis();
        for (String name : Files.readAllLines(SAMPLES.resolve("disabled-hosts.txt"))) {
            Files.createFile(folder.resolve(name));
        }

        DisabledHostStore.Contents contents = new DisabledHostStore(folder).read(now, now);

        assertThat(contents.disabled()).containsExactlyInAnyOrder("s-1", "host/with odd:name ü");
        assertThat(contents.enabledAtUnixMillis()).containsOnlyKeys("s-3");
    }

    @Test
    void folderOfDisabledHostsHasTheSameFileNames() throws Exception {
        DisabledHostStore store = new DisabledHostStore(folder);

        store.disable("s-1");
        store.disable("host/with odd:name ü");
        store.disable("s-3");
        store.enable("s-3", System.currentTimeMillis());

        try (var files = Files.list(folder)) {
            assertThat(files.map(file -> file.getFileName().toString()))
                    .containsExactlyInAnyOrderElementsOf(Files.readAllLines(SAMPLES.resolve("disabled-hosts.txt")));
        }
    }

    @Test
    void reportOfRunHasTheSameFields() throws Exception {
        JsonNode sample = JSON.readTree(SAMPLES.resolve("report.json").toFile());
        RunReport.Row row = new RunReport.Row("list", null, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, quantiles(), quantiles());
        RunReport.Point point = new RunReport.Point(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
        RunReport report = new RunReport(
                false, "a reason", false, 1, 1, 0, quantiles(), 0, 0, List.of(row), row, 1, List.of(point), List.of());

        JsonNode written = JSON.valueToTree(report);

        assertThat(fields("", written)).isEqualTo(fields("", sample));
    }

    private static RunReport.Quantiles quantiles() {
        return new RunReport.Quantiles(0, 0, 0, 0, 0, 0, 0);
    }

    /** Returns the paths of all fields below a node; for a list, those of its first element. */
    private static Set<String> fields(String prefix, JsonNode node) {
        Set<String> paths = new TreeSet<>();
        if (node.isArray() && !node.isEmpty()) {
            paths.addAll(fields(prefix + "[]", node.get(0)));
        }
        node.fields().forEachRemaining(field -> {
            paths.add(prefix + "/" + field.getKey());
            paths.addAll(fields(prefix + "/" + field.getKey(), field.getValue()));
        });
        return paths;
    }

    private static String written(LogRecord logRecord) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.getFactory().createGenerator(text)) {
            logRecord.write(json);
        }
        return text.toString();
    }
}
