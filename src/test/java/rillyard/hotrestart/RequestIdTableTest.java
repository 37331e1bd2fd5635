package rillyard.hotrestart;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against ids that are forgotten too soon, or not recognized by another process. */
class RequestIdTableTest {
    @TempDir
    Path directory;

    @Test
    void idIsFoundAfterManyOthersAndNoOtherIs() {
        RequestIdTable table = RequestIdTable.ofProcess();
        for (int i = 0; i < 30_000; i++) {
            assertThat(table.contains("id" + i)).isFalse();
            table.add("id" + i);
        }
        int found = 0;
        for (int i = 0; i < 30_000; i++) {
            found += table.contains("id" + i) ? 1 : 0;
        }
        assertThat(found).isGreaterThan(29_000); // some are displaced early, as sets fill unevenly
        assertThat(table.contains("id30000")).isFalse();
    }

    @Test
    void idIsFoundByOtherProcessOfDirectory() throws Exception {
        RequestIdTable predecessor = RequestIdTable.shared(directory);
        RequestIdTable successor = RequestIdTable.shared(directory);
        predecessor.add("id");
        assertThat(successor.contains("id")).isTrue();
        assertThat(RequestIdTable.ofProcess().contains("id")).isFalse();
    }
}
