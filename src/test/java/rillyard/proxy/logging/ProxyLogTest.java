package rillyard.proxy.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The limit of the log's lines. */
class ProxyLogTest {
    private static final int MAX_LINES_PER_SECOND = 50;

    @Test
    void linesOfStackTracesCountWithinLimit() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        ProxyLog log = new ProxyLog(new PrintStream(written, true, StandardCharsets.UTF_8));
        long beganAt = System.nanoTime();
        for (int i = 0; i < 100; i++) {
            log.error("test: failed", new IllegalStateException("cause"));
        }
        long seconds = (System.nanoTime() - beganAt) / 1_000_000_000L + 2; // that have begun meanwhile
        // One line a second tells of those that were dropped.
        assertThat(written.toString(StandardCharsets.UTF_8).lines().count())
                .isBetween(3L, seconds * (MAX_LINES_PER_SECOND + 1));
        assertThat(written.toString(StandardCharsets.UTF_8))
                .contains("rillyard: test: failed")
                .contains("IllegalStateException: cause");
    }
}
