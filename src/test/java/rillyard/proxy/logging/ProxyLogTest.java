package rillyard.proxy.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a log that exceeds its limit of lines per second, drops lines without counting them, or passes control
 * characters of hosts on to terminals.
 */
class ProxyLogTest {
    private static final int MAX_LINES_PER_SECOND = 50;
    private static final int THREADS = 8;
    private static final int LINES_PER_THREAD = 200_000;

    @Test
    void linesOfStackTracesCountWithinLimit() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        ProxyLog log = new ProxyLog(new PrintStream(written, true, StandardCharsets.UTF_8));
        long startNanos = System.nanoTime();
        for (int i = 0; i < 100; i++) {
            log.error("test: failed", new IllegalStateException("cause"));
        }
        long seconds = (System.nanoTime() - startNanos) / 1_000_000_000L + 2; // at most so many have begun meanwhile
        // One more line per second states how many lines were dropped.
        assertThat(written.toString(StandardCharsets.UTF_8).lines().count())
                .isBetween(3L, seconds * (MAX_LINES_PER_SECOND + 1));
        assertThat(written.toString(StandardCharsets.UTF_8))
                .contains("rillyard: test: failed")
                .contains("IllegalStateException: cause");
    }

    @Test
    void controlCharactersOfHostsDoNotReachLog() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        ProxyLog log = new ProxyLog(new PrintStream(written, true, StandardCharsets.UTF_8));
        log.info(() -> "upstream: cause=\0\033[2J\u0085\rb\nc");
        log.error("test: \0", new IllegalStateException("\0\007d"));
        assertThat(written.toString(StandardCharsets.UTF_8).chars())
                .allMatch(character -> !Character.isISOControl(character) || character == '\n' || character == '\t');
        assertThat(written.toString(StandardCharsets.UTF_8)).startsWith("rillyard: upstream: cause=  [2J  b c\n");
    }

    @Test
    void linesOfManyThreadsAreAllCounted() throws Exception {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        ProxyLog log = new ProxyLog(new PrintStream(written, true, StandardCharsets.UTF_8));
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < THREADS; i++) {
            Thread thread = new Thread(() -> {
                for (int line = 0; line < LINES_PER_THREAD; line++) {
                    log.info("test: line");
                }
            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Thread.sleep(1_001); // the next line, in a new second, is preceded by the number of dropped lines
        log.info("test: end");
        List<String> lines = written.toString(StandardCharsets.UTF_8).lines().toList();
        long lineCount = lines.stream().filter("rillyard: test: line"::equals).count();
        String droppedPrefix = "rillyard: log: lines dropped, count=";
        for (String line : lines) {
            if (line.startsWith(droppedPrefix)) {
                lineCount += Long.parseLong(line.substring(droppedPrefix.length()));
            }
        }
        assertThat(lineCount).isEqualTo((long) THREADS * LINES_PER_THREAD);
        assertThat(lines).endsWith("rillyard: test: end");
    }
}
