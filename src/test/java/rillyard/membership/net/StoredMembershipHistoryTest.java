package rillyard.membership.net;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rillyard.membership.Incarnation;
import rillyard.membership.MemberAddress;
import rillyard.membership.MemberIdentity;
import rillyard.membership.MemberStatus;
import rillyard.membership.MemberUpdate;
import rillyard.membership.MembershipEvent;

/** The lines of a membership event log keep the format that revision 9259448 wrote. */
class StoredMembershipHistoryTest {
    private static final Path SAMPLE = Path.of("src/test/resources/stored-9259448/membership.jsonl");
    private static final ObjectMapper JSON = new ObjectMapper();

    @TempDir
    Path folder;

    @Test
    void eventIsWrittenAsTheStoredLine() throws Exception {
        List<String> lines = Files.readAllLines(SAMPLE);
        assertThat(lines).hasSizeGreaterThan(20);
        for (String line : lines) {
            assertThat(written(JSON.readTree(line))).isEqualTo(line + "\n");
        }
    }

    private String written(JsonNode line) throws Exception {
        Path file = folder.resolve("history.jsonl");
        Files.deleteIfExists(file);
        String before = line.path("before").textValue();
        MemberUpdate update = new MemberUpdate(
                new MemberIdentity(line.path("about").textValue(), new MemberAddress(0x7f000001, 7400), 0, 0),
                new Incarnation(
                        line.path("start").longValue(), line.path("incarnation").intValue()),
                MemberStatus.valueOf(line.path("status").textValue()),
                0);
        MembershipEvent event = new MembershipEvent(
                0,
                update,
                before == null ? null : MemberStatus.valueOf(before),
                line.path("by").textValue());
        try (MembershipEventLog log =
                new MembershipEventLog(file, line.path("member").textValue())) {
            log.append(line.path("at").longValue(), event);
        }
        return Files.readString(file);
    }
}
