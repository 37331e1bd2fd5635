package rillyard.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A process that a measurement starts; it is ended with SIGTERM. */
final class Child implements AutoCloseable {
  private static final int END_S = 30;

  private final Process process;

  private Child(Process process) {
    this.process = process;
  }

  /**
   * Starts this program again.
   *
   * @param cores the cores that it may use, as {@code taskset -c} takes them; null for all
   * @param options of the JVM
   * @param environment variables besides those of this process
   * @param out gets its standard output; errors come out here
   */
  static Child rillyard(
      String cores, List<String> options, Map<String, String> environment, Path out, String... args)
      throws IOException {
    List<String> line = new ArrayList<>();
    if (cores != null && Files.isExecutable(Path.of("/usr/bin/taskset"))) {
      line.addAll(List.of("/usr/bin/taskset", "-c", cores));
    }
    line.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    line.addAll(options);
    line.addAll(List.of("-cp", System.getProperty("java.class.path"), "rillyard.Main"));
    line.addAll(List.of(args));
    ProcessBuilder b = new ProcessBuilder(line);
    b.environment().keySet().removeIf(k -> k.startsWith("BALANCER_"));
    b.environment().putAll(environment);
    b.redirectOutput(out.toFile());
    b.redirectError(ProcessBuilder.Redirect.INHERIT);
    return new Child(b.start());
  }

  boolean alive() {
    return process.isAlive();
  }

  /** Waits for its end and returns its exit code. */
  int await() throws InterruptedException {
    return process.waitFor();
  }

  /** The CPU time that it has taken so far. */
  Duration cpu() {
    return process.info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /** Waits for a file that it writes. */
  void awaitFile(Path file) throws IOException, InterruptedException {
    while (!Files.exists(file)) {
      if (!process.isAlive()) {
        throw new IOException("a process ended before it wrote " + file);
      }
      Thread.sleep(10);
    }
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
