package rillyard.childprocess;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** A process of this program's; it ends by SIGTERM, and by force if that takes too long. */
public final class ChildProcess implements AutoCloseable {
    private static final int TERMINATION_TIMEOUT_SECONDS = 30;

    private final Process process;

    private ChildProcess(Process process) {
        this.process = process;
    }

    /**
     * Starts one.
     *
     * @param out gets its standard output
     * @param errors gets its standard error; null for this process's own
     * @throws IOException if it could not be started
     */
    public static ChildProcess start(LaunchCommand launch, Path out, Path errors, String... command)
            throws IOException {
        ProcessBuilder builder = launch.builder(command).redirectOutput(out.toFile());
        if (errors == null) {
            builder.redirectError(ProcessBuilder.Redirect.INHERIT);
        } else if (errors.equals(out)) {
            builder.redirectErrorStream(true);
        } else {
            builder.redirectError(errors.toFile());
        }
        return new ChildProcess(builder.start());
    }

    /** Returns whether the process has not ended yet. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Its process id. */
    public long pid() {
        return process.pid();
    }

    /** Waits for its end and returns its exit code. */
    public int await() throws InterruptedException {
        return process.waitFor();
    }

    /** The CPU time that it has taken so far, to the clock tick (10 ms); zero once it has ended. */
    public Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /**
     * Waits for a file that it writes.
     *
     * @throws IOException if it ends first
     */
    public void awaitFile(Path file) throws IOException, InterruptedException {
        while (!Files.exists(file)) {
            if (!process.isAlive()) {
                throw new IOException("a process ended before it wrote " + file);
            }
            Thread.sleep(10);
        }
    }

    /** Sends SIGTERM and returns at once. */
    public void terminate() {
        process.destroy();
    }

    /** Has it stand still (SIGSTOP) until {@link #resume}; returns once it does. */
    public void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Has it go on (SIGCONT), without knowing that it stood still. */
    public void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    /**
     * Sends it a signal by its name without {@code SIG}.
     *
     * @throws IOException if it has ended, or the name is none
     */
    public void signal(String name) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + pid())
                .redirectErrorStream(true)
                .start();
        String output = new String(kill.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        if (kill.waitFor() != 0) {
            throw new IOException("SIG" + name + " to " + pid() + " failed: " + output.strip());
        }
    }

    /** Sends SIGKILL and waits for the end. */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(TERMINATION_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
