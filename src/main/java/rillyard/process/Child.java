package rillyard.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** A process of this program's; it ends by SIGTERM, and by force if that takes too long. */
public final class Child implements AutoCloseable {
  private static final int END_S = 30;

  private final Process process;

  private Child(Process process) {
    this.process = process;
  }

  /**
   * Starts one.
   *
   * @param out gets its standard output
   * @param errors gets its standard error; null for this process's own
   * @throws IOException if it could not be started
   */
  public static Child start(Launch launch, Path out, Path errors, String... command)
      throws IOException {
    ProcessBuilder b = launch.builder(command).redirectOutput(out.toFile());
    if (errors == null) {
      b.redirectError(ProcessBuilder.Redirect.INHERIT);
    } else if (errors.equals(out)) {
      b.redirectErrorStream(true);
    } else {
      b.redirectError(errors.toFile());
    }
    return new Child(b.start());
  }

  public boolean alive() {
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
  public Duration cpu() {
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

  /** Sends SIGKILL and waits for the end. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  @Override
  public void close() {
    process.destroy();
    try {
      if (!process.waitFor(END_S, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
