package rillyard.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What the proxy costs beside going straight to the hosts, and what the generator costs itself; and
 * the highest rate that one core of the generator holds on schedule.
 */
public final class Baseline {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long READY_NANOS = 60_000_000_000L;
  private static final String HOSTS =
      """
      [hosts]
      count = 20
      cores = 2000
      connections = 20000
      [[class]]
      name = "visit-list"
      semantics = "idempotent"
      work = { dist = "constant", mean_ms = 2 }
      [[class]]
      name = "visit-log"
      semantics = "deduplicated"
      work = { dist = "constant", mean_ms = 2 }
      [[class]]
      name = "visit-claim"
      work = { dist = "constant", mean_ms = 2 }
      """;

  private final Path folder;
  private final PrintStream out;
  private int runs;

  /** Files go to the folder, figures to {@code out}. */
  public Baseline(Path folder, PrintStream out) {
    this.folder = folder;
    this.out = out;
  }

  /** One run of the generator. */
  private record Run(boolean valid, double p50, double p99, double loadMicros, double proxyMicros, double served) {}

  /**
   * Measures in turn, direct and through the proxy.
   *
   * @param rates requests a second
   * @param pairs pairs of runs for each rate
   * @param seconds length of each run
   * @throws Exception if a process could not be started
   */
  public void addedByProxy(int[] rates, int pairs, int seconds) throws Exception {
    try (Child hosts = hosts()) {
      Path ready = folder.resolve("ready.json");
      hosts.awaitFile(ready);
      String direct = addresses(ready);
      int port = freePort();
      try (Child proxy = proxy(ready, port)) {
        out.printf("%8s %5s %9s %9s %9s %9s %9s %9s %11s %11s %7s%n", "rate", "pair", "direct", "",
            "proxied", "", "added", "", "generator", "proxy", "ratio");
        out.printf("%8s %5s %9s %9s %9s %9s %9s %9s %11s %11s %7s%n", "1/s", "", "p50 ms", "p99",
            "p50", "p99", "p50", "p99", "us/request", "us/request", "");
        load(proxy, "127.0.0.1:" + port, rates[rates.length - 1], seconds); // what is cold is not counted
        for (int rate : rates) {
          List<double[]> rows = new ArrayList<>();
          for (int i = 0; i < pairs; i++) {
            Run a = load(proxy, direct, rate, seconds);
            Run b = load(proxy, "127.0.0.1:" + port, rate, seconds);
            double[] row = {a.p50, a.p99, b.p50, b.p99, b.p50 - a.p50, b.p99 - a.p99, b.loadMicros,
                b.proxyMicros, b.loadMicros / b.proxyMicros};
            rows.add(row);
            print(rate, Integer.toString(i + 1), row, a.valid && b.valid, b.served);
          }
          double[] middle = new double[9];
          for (int k = 0; k < middle.length; k++) {
            int column = k;
            double[] sorted = rows.stream().mapToDouble(r -> r[column]).sorted().toArray();
            middle[k] = sorted[sorted.length / 2];
          }
          print(rate, "med", middle, true, 1);
        }
      }
    }
  }

  private void print(int rate, String pair, double[] v, boolean valid, double served) {
    out.printf(Locale.ROOT, "%8d %5s %9.3f %9.3f %9.3f %9.3f %9.3f %9.3f %11.1f %11.1f %7.2f%s%s%n",
        rate, pair, v[0], v[1], v[2], v[3], v[4], v[5], v[6], v[7], v[8], valid ? "" : "  INVALID",
        served < 0.999 ? String.format(Locale.ROOT, "  only %.1f %% served", 100 * served) : "");
  }

  /**
   * Raises the rate until the generator does not hold its schedule.
   *
   * @throws Exception if a process could not be started
   */
  public void highestRate(int from, int step, int most, int seconds) throws Exception {
    try (Child hosts = hosts()) {
      Path ready = folder.resolve("ready.json");
      hosts.awaitFile(ready);
      String direct = addresses(ready);
      out.printf("%8s %9s %9s %11s %s%n", "rate 1/s", "p50 ms", "p99", "us/request", "");
      int failures = 0;
      for (int rate = from; rate <= most && failures < 2; rate += step) {
        Run r = load(hosts, direct, rate, seconds);
        failures += r.valid ? 0 : 1;
        out.printf(Locale.ROOT, "%8d %9.3f %9.3f %11.1f %s%n", rate, r.p50, r.p99, r.loadMicros,
            r.valid ? "on schedule" : "INVALID");
      }
    }
  }

  private Child hosts() throws IOException {
    Path ready = folder.resolve("ready.json");
    Files.deleteIfExists(ready);
    Path timetable = Files.writeString(folder.resolve("hosts.toml"), HOSTS);
    return Child.rillyard("2-5", List.of(), Map.of(), folder.resolve("hosts.log"), "stand-in",
        "--timetable", timetable.toString(), "--ready-file", ready.toString(), "--threads", "4");
  }

  private Child proxy(Path ready, int port) throws IOException, InterruptedException {
    Child c =
        Child.rillyard("1", List.of("@deploy/proxy.jvm"),
            Map.of("BALANCER_CONFIG", ready.toString(), "BALANCER_LISTEN", "127.0.0.1:" + port),
            folder.resolve("proxy.log"), "proxy");
    long until = System.nanoTime() + READY_NANOS;
    while (!healthy(port)) {
      if (!c.alive() || System.nanoTime() > until) {
        c.close();
        throw new IOException("the proxy did not come up");
      }
      Thread.sleep(20);
    }
    return c;
  }

  private static boolean healthy(int port) {
    try {
      HttpURLConnection c =
          (HttpURLConnection) URI.create("http://127.0.0.1:" + port + "/_health").toURL().openConnection();
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

  private Run load(Child proxy, String target, int rate, int seconds)
      throws IOException, InterruptedException {
    Path plan =
        Files.writeString(folder.resolve("plan.toml"),
            "seed = " + ++runs + "\n[clients]\ncount = 100\n[[shape]]\nkind = \"poisson\"\nfor_s = "
                + seconds + "\nrate = " + rate + "\n");
    Path json = folder.resolve("run-" + runs + ".json");
    try (Child load =
        Child.rillyard("0", List.of("@deploy/load.jvm"), Map.of(), json, "load", "--target", target,
            "--plan", plan.toString(), "--json")) {
      double before = proxy.cpu().toNanos() / 1e3;
      load.await();
      double cpu = proxy.cpu().toNanos() / 1e3 - before;
      JsonNode r = JSON.readTree(json.toFile());
      JsonNode all = r.path("total");
      double offered = all.path("offered").asDouble();
      return new Run(
          r.path("valid").asBoolean(),
          all.path("latency").path("p50").asDouble(),
          all.path("latency").path("p99").asDouble(),
          1e6 * r.path("cpuSeconds").asDouble() / offered,
          cpu / offered,
          (all.path("inAim").asDouble() + all.path("late").asDouble()) / offered);
    }
  }

  private static String addresses(Path ready) throws IOException {
    List<String> all = new ArrayList<>();
    JSON.readTree(ready.toFile()).path("hosts").forEach(h -> all.add(h.path("addr").asText()));
    return String.join(",", all);
  }

  private static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return s.getLocalPort();
    }
  }

  /** Reads rates, as {@code 500,1000}. */
  public static int[] rates(String text) {
    return Arrays.stream(text.split(",")).mapToInt(s -> Integer.parseInt(s.trim())).toArray();
  }
}
