package rillyard.demo;

import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import rillyard.loadgen.LoadPlan;
import rillyard.loadgen.LoadPlanReader;
import rillyard.loadgen.LoadRun;
import rillyard.requestlog.RequestLogWriter;
import rillyard.testserver.TestCluster;
import rillyard.testserver.TestClusterPlan;
import rillyard.testserver.TestClusterPlanReader;

/**
 * Warms up the JVM of a load generator or a test cluster by sending requests through the same classes to test hosts in
 * its own process. Code that is not compiled yet is about ten times slower: without the warm-up, the schedule could not
 * be kept, and the run would measure the JVM.
 */
public final class JvmWarmup {
    private static final String HOSTS =
            """
      [hosts]
      count = 2
      cores = 1000
      [[class]]
      name = "list"
      semantics = "idempotent"
      work = { dist = "constant", mean_ms = 1 }
      [[class]]
      name = "log"
      semantics = "deduplicated"
      work = { dist = "constant", mean_ms = 1 }
      [[class]]
      name = "claim"
      work = { dist = "constant", mean_ms = 1 }
      """;

    private static final String PLAN =
            """
      [clients]
      count = 40
      [[shape]]
      kind = "ramp"
      for_s = 2.5
      from = 200
      to = 4000
      """;

    private JvmWarmup() {}

    /**
     * Runs the warm-up, which takes two and a half seconds.
     *
     * @throws Exception if loopback can't be used
     */
    public static void run() throws Exception {
        TestClusterPlan hosts = TestClusterPlanReader.parse("warm-up", HOSTS, 0);
        LoadPlan load = LoadPlanReader.parse("warm-up", PLAN, Path.of("."));
        InetSocketAddress anyFreePort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        PrintStream hostLog = System.err;
        try (RequestLogWriter requestLog = RequestLogWriter.disabled();
                TestCluster cluster = new TestCluster(hosts, anyFreePort, 1, requestLog, hostLog)) {
            cluster.start();
            new LoadRun(load, List.of(cluster.address("s-0"), cluster.address("s-1")), requestLog, null).run();
        }
    }
}
