package rillyard.childprocess;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Child processes of tests: no wait for one is without limit, and signals reach it.
 *
 * <p>A process inherits ignored signals. A shell that starts a job in the background ignores SIGINT, {@code nohup} ignores
 * SIGHUP, and a JVM installs no handler for a signal that is ignored when it starts.
 */
public final class TestProcess {
    /** Past this time a process is killed, so that a blocking read of its output ends, too. */
    private static final int LIMIT_SECONDS = 90;

    private static final String ENV = "/usr/bin/env";
    private static final String DEFAULT_SIGNALS = "--default-signal=INT,HUP";
    private static final Map<String, Integer> SIGNAL_NUMBERS = Map.of("HUP", 1, "INT", 2, "TERM", 15);

    private TestProcess() {}

    /**
     * Starts a process that is killed after 90 s, with SIGINT and SIGHUP not ignored where the system's {@code env} can
     * restore them (GNU coreutils 8.31 or later). Elsewhere {@link #signal} fails if they are ignored.
     */
    public static Process start(ProcessBuilder builder) throws IOException {
        if (EnvSupport.RESTORES_SIGNALS) {
            List<String> command = new ArrayList<>(List.of(ENV, DEFAULT_SIGNALS));
            command.addAll(builder.command());
            builder.command(command);
        }
        return killAfterLimit(builder.start());
    }

    private static Process killAfterLimit(Process process) {
        CompletableFuture.delayedExecutor(LIMIT_SECONDS, TimeUnit.SECONDS).execute(process::destroyForcibly);
        return process;
    }

    /** Reads to the end of the stream, at the process's end at the latest. */
    public static String read(InputStream stream) throws IOException {
        return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
    }

    /** Waits until the process ends by itself and returns its exit code; fails past the limit. */
    public static int exitCode(Process process) throws InterruptedException {
        boolean hasEnded = process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS);
        assertThat(hasEnded)
                .as("process %d ends within %d s", process.pid(), LIMIT_SECONDS)
                .isTrue();
        return process.exitValue();
    }

    /** Sends a signal; fails at once if the process ignores it. */
    public static void signal(long pid, String name) throws IOException, InterruptedException {
        assertThat(ignores(pid, name))
                .as("process %d ignores SIG%s, as it inherited that and %s can't restore it", pid, name, ENV)
                .isFalse();
        Process kill = killAfterLimit(new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start());
        assertThat(exitCode(kill)).as("kill -%s %d", name, pid).isZero();
    }

    /** Returns whether a process ignores a signal; false where the system does not tell. */
    private static boolean ignores(long pid, String name) throws IOException {
        Path status = Path.of("/proc", Long.toString(pid), "status");
        if (!Files.exists(status)) {
            return false;
        }
        long ignored = Files.readAllLines(status).stream()
                .filter(line -> line.startsWith("SigIgn:"))
                .mapToLong(line -> Long.parseUnsignedLong(line.replaceFirst("SigIgn:\\s*", ""), 16))
                .findFirst()
                .orElse(0);
        long bit = 1L << (SIGNAL_NUMBERS.get(name) - 1);
        return (ignored & bit) != 0;
    }

    /** Asks the system once whether its {@code env} restores signals. */
    private static final class EnvSupport {
        static final boolean RESTORES_SIGNALS = probe();

        private static boolean probe() {
            try {
                Process probe = killAfterLimit(new ProcessBuilder(ENV, DEFAULT_SIGNALS, "true").start());
                return exitCode(probe) == 0;
            } catch (IOException e) {
                return false;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
    }
}
