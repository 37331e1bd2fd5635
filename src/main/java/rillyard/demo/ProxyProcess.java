package rillyard.demo;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A proxy in a process of its own, as a platform would run it; it ends by SIGTERM. */
public final class ProxyProcess implements AutoCloseable {
  private static final long READY_NANOS = 30_000_000_000L;
  private static final int STARTS = 3;
  private static final int END_S = 20;

  private final Process process;
  private final InetSocketAddress address;

  private ProxyProcess(Process process, InetSocketAddress address) {
    this.process = process;
    this.address = address;
  }

  /**
   * Starts one from this program's own class path, and waits until it would serve.
   *
   * @param config its configuration, as a ready file holds it
   * @param log gets what it writes
   * @throws IOException if it does not come up; holds the end of its log
   */
  public static ProxyProcess start(Path config, Path log) throws IOException, InterruptedException {
    IOException failure = null;
    for (int i = 0; i < STARTS; i++) { // another may take the free port first
      ProxyProcess p = startOnce(config, log);
      try {
        p.awaitReady(log);
        return p;
      } catch (IOException e) {
        p.close();
        failure = e;
      }
    }
    throw failure;
  }

  private static ProxyProcess startOnce(Path config, Path log) throws IOException {
    InetAddress here = InetAddress.getByName("127.0.0.1");
    int port;
    try (ServerSocket s = new ServerSocket(0, 1, here)) {
      port = s.getLocalPort();
    }
    ProcessBuilder b =
        new ProcessBuilder(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx64m",
                "-XX:MaxDirectMemorySize=140m",
                "-cp",
                System.getProperty("java.class.path"),
                "rillyard.Main",
                "proxy"));
    b.environment().keySet().removeIf(k -> k.startsWith("BALANCER_"));
    b.environment().put("BALANCER_CONFIG", config.toString());
    b.environment().put("BALANCER_LISTEN", "127.0.0.1:" + port);
    b.redirectErrorStream(true);
    b.redirectOutput(log.toFile());
    return new ProxyProcess(b.start(), new InetSocketAddress(here, port));
  }

  private void awaitReady(Path log) throws IOException, InterruptedException {
    long until = System.nanoTime() + READY_NANOS;
    while (!healthy()) {
      if (!process.isAlive() || System.nanoTime() > until) {
        String said = Files.exists(log) ? Files.readString(log) : "";
        throw new IOException("the proxy did not come up; it said:\n"
            + said.substring(Math.max(0, said.length() - 2_000)));
      }
      Thread.sleep(20);
    }
  }

  private boolean healthy() {
    try {
      HttpURLConnection c =
          (HttpURLConnection)
              URI.create("http://127.0.0.1:" + address.getPort() + "/_health").toURL().openConnection();
      c.setConnectTimeout(1_000);
      c.setReadTimeout(1_000);
      try {
        return c.getResponseCode() == 200;
      } finally {
        c.disconnect();
      }
    } catch (IOException e) {
      return false;
    }
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return address;
  }

  /** Its process id. */
  public long pid() {
    return process.pid();
  }

  /** Ends it in order; by force if that takes too long. */
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
