package rillyard.childprocess;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** A child process. It is ended by SIGTERM, and by SIGKILL if it does not exit in time. */
public final class ChildProcess implements AutoCloseable {
    private static final int TERMINATION_TIMEOUT_SECONDS = 30;

    private final Process process;

    private ChildProcess(Process process) {
        this.process = process;
    }

    /**
     * Starts a child process.
     *
     * @param launch how the program is started
     * @param out file for its standard output
     * @param errors file for its standard error; null for this process's own
     * @param command command of this program with its arguments
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

    /** Returns the process id. */
    public long pid() {
        return process.pid();
    }

    /** Waits until the process ends and returns its exit code. */
    public int await() throws InterruptedException {
        return process.waitFor();
    }

    /** Returns the CPU time used so far, in steps of the clock tick (10 ms); zero once the process has ended. */
    public Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /**
     * Waits until the process has written a file.
     *
     * @throws IOException if the process ends first
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

    /**
     * Stops the process (SIGSTOP) until {@link #resume}.
     *
     * @throws IOException if the process has ended
     */
    public void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    /**
     * Continues a stopped process (SIGCONT).
     *
     * @throws IOException if the process has ended
     */
    public void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    /**
     * Sends a signal.
     *
     * @param name name of the signal without {@code SIG}
     * @throws IOException if the process has ended, or the name is unknown
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

    /** Sends SIGKILL and waits until the process has ended. */
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
