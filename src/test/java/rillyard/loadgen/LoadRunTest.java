package rillyard.loadgen;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;
import rillyard.requestlog.ExecutionResult;
import rillyard.requestlog.HostExecution;
import rillyard.requestlog.LogHeader;
import rillyard.requestlog.LogRecord;
import rillyard.requestlog.RequestLogReader;
import rillyard.requestlog.RequestLogWriter;
import rillyard.testserver.TestCluster;
import rillyard.testserver.TestClusterPlanReader;

/** Runs the generator against test clusters and against faulty targets on loopback. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class LoadRunTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private static final String CLASS_TOML =
            "[[class]]\nname = 'c'\nsemantics = 'idempotent'\naim_ms = 400\ndeadline_ms = 20000\n";

    private static final int MAX_RUNS = 6;
    private static final int WARM_UP_RUNS = 2;

    @TempDir
    Path folder;

    private static String hostsToml(String serviceTime, String faults) {
        return "[hosts]\ncount = 1\ncores = 2000\nqueue = 100000\nconnections = 100000\n"
                + "[[class]]\nname = 'c'\nsemantics = 'idempotent'\naim_ms = 400\ndeadline_ms = 20000\nwork = "
                + serviceTime
                + "\n" + faults;
    }

    /**
     * Runs generator and hosts through a pause and with clients that leave, before anything is measured: code that runs
     * for the first time takes longer than the times that the tests measure.
     */
    @BeforeAll
    static void warmUp(@TempDir Path warmUpFolder) throws Exception {
        String hosts = hostsToml(
                "{ dist = 'constant', mean_ms = 1 }",
                "[[fault]]\nkind = 'pause'\nhost = 's-0'\nat_s = 0.3\nfor_s = 0.7\n");
        for (String tryShare : List.of("[1, 1]", "[0.02, 0.02]")) {
            for (int i = 0; i < WARM_UP_RUNS; i++) {
                String plan = "lateness_ms = 5000\n" + CLASS_TOML + "[clients]\nretries = 0\ntry_share = " + tryShare
                        + "\n[[shape]]\nkind = 'steady'\nfor_s = 1.2\nrate = 600\n";
                runAgainstCluster(warmUpFolder, hosts, plan);
            }
        }
    }

    private RunReport runAgainstCluster(String hosts, String plan) throws Exception {
        return runAgainstCluster(folder, hosts, plan);
    }

    /** Runs a plan against a test cluster of one host. */
    private static RunReport runAgainstCluster(Path folder, String hosts, String plan) throws Exception {
        PrintStream errors = System.err;
        try (RequestLogWriter hostRequestLog =
                        RequestLogWriter.open(folder.resolve("h"), new LogHeader("hosts", 1, 1));
                RequestLogWriter requestLog =
                        RequestLogWriter.open(folder.resolve("c"), new LogHeader("clients", 1, 1));
                TestCluster cluster = new TestCluster(
                        TestClusterPlanReader.parse("h", hosts, 0), ANY_PORT, 1, hostRequestLog, errors)) {
            cluster.start();
            LoadRun run = new LoadRun(
                    LoadPlanReader.parse("p", plan, folder), List.of(cluster.address("s-0")), requestLog, null);
            cluster.startFaultSchedule();
            run.run();
            return run.report(List.of());
        }
    }

    private <T extends LogRecord> List<T> records(String role, Class<T> kind) throws Exception {
        List<T> records = new ArrayList<>();
        boolean complete = RequestLogReader.read(folder.resolve(role.substring(0, 1)), role, line -> {
            if (kind.isInstance(line)) {
                records.add(kind.cast(line));
            }
        });
        assertThat(complete).isTrue();
        return records;
    }

    @Test
    void pauseShowsAsLateResponsesWithoutOmission() throws Exception {
        int rate = 300;
        RunReport report = runAgainstCluster(
                hostsToml(
                        "{ dist = 'constant', mean_ms = 1 }",
                        "[[fault]]\nkind = 'pause'\nhost = 's-0'\nat_s = 1\nfor_s = 2\n"),
                "lateness_ms = 5000\n" + CLASS_TOML + "[clients]\nretries = 0\ntry_share = [1, 1]\n"
                        + "[[shape]]\nkind = 'steady'\nfor_s = 4\nrate = " + rate + "\n");
        assertThat(report.total().offered()).isEqualTo(4L * rate);
        assertThat(report.total().inAim() + report.total().late()).isEqualTo(4L * rate);
        List<ClientAttempt> attempts = records("clients", ClientAttempt.class);
        for (double threshold = 0.2; threshold < 2; threshold += 0.2) {
            double seconds = threshold;
            long later = attempts.stream()
                    .filter(attempt -> attempt.endedAt() - attempt.scheduledAt() > 1e6 * seconds)
                    .count();
            // The pause runs on the test cluster's own timer, so both ends may be off by some tens of milliseconds.
            assertThat(later)
                    .as("later than %.1f s", threshold)
                    .isCloseTo(Math.round(rate * (2 - threshold)), within(Math.round(0.15 * rate)));
        }
    }

    /**
     * Noise of the machine only adds to measured times and does not affect every run, so one of a few runs must
     * measure the injected times. A wrong histogram would be wrong in all runs.
     */
    @Test
    void quantilesMatchInjectedDistribution() throws Exception {
        String hosts = hostsToml("{ dist = 'lognormal', mean_ms = 100, cv = 0.7 }", "");
        String plan = CLASS_TOML + "[clients]\nretries = 0\ntry_share = [1, 1]\n"
                + "[[shape]]\nkind = 'poisson'\nfor_s = 2.5\nrate = 500\n";
        List<String> mismatches = new ArrayList<>();
        for (int i = 0; i < MAX_RUNS; i++) {
            RunReport report = runAgainstCluster(hosts, plan);
            // The hosts' request log has the service times drawn, which the generator must measure.
            double[] drawn = records("hosts", HostExecution.class).stream()
                    .mapToDouble(execution -> execution.workMicros() / 1_000.0)
                    .sorted()
                    .toArray();
            assertThat((long) drawn.length).isEqualTo(report.total().offered());
            RunReport.Quantiles quantiles = report.total().service();
            if (isNear(quantiles.p50(), quantile(drawn, 0.5))
                    && isNear(quantiles.p90(), quantile(drawn, 0.9))
                    && isNear(quantiles.p99(), quantile(drawn, 0.99))
                    && isNear(quantiles.p999(), quantile(drawn, 0.999))) {
                // The drawn times are a sample of the configured distribution, whose median is known.
                assertThat(quantile(drawn, 0.5)).isCloseTo(100 / Math.sqrt(1.49), within(8.0));
                return;
            }
            mismatches.add(quantiles + " for " + quantile(drawn, 0.5) + " " + quantile(drawn, 0.9) + " "
                    + quantile(drawn, 0.99));
        }
        assertThat(mismatches)
                .as("quantiles that differ from the injected times, by run")
                .isEmpty();
    }

    private static double quantile(double[] sorted, double share) {
        return sorted[(int) Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)];
    }

    /** Returns whether a measured time is within 3 % or 1 ms of the injected one. */
    private static boolean isNear(double measured, double injected) {
        return Math.abs(measured - injected) <= Math.max(0.03 * injected, 1);
    }

    private interface Target {
        void serve(Socket socket) throws IOException;
    }

    /** Runs a plan against a server that calls {@code target} with each connection. */
    private RunReport runAgainstTarget(Target target, String plan) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                RequestLogWriter requestLog =
                        RequestLogWriter.open(folder.resolve("c"), new LogHeader("clients", 1, 1))) {
            Thread thread = new Thread(() -> {
                while (!server.isClosed()) {
                    try {
                        Socket socket = server.accept();
                        target.serve(socket);
                    } catch (IOException e) {
                        // continue with the next connection; the loop ends with the server socket
                    }
                }
            });
            thread.setDaemon(true);
            thread.start();
            LoadRun run = new LoadRun(
                    LoadPlanReader.parse("p", plan, folder),
                    List.of((InetSocketAddress) server.getLocalSocketAddress()),
                    requestLog,
                    null);
            run.run();
            return run.report(List.of());
        }
    }

    private static final String SHORT_PLAN =
            "max_open = 2000\n[[class]]\nname = 'c'\nsemantics = 'idempotent'\naim_ms = 100\ndeadline_ms = 300\n"
                    + "[[shape]]\nkind = 'poisson'\nfor_s = 1\nrate = 300\n";

    private void assertAllEnded(RunReport report, ClientOutcome expected) throws Exception {
        assertThat(report.total().offered()).isGreaterThan(200);
        assertThat(report.total().inAim() + report.total().late()).isZero();
        List<ClientAttempt> attempts = records("clients", ClientAttempt.class);
        assertThat(attempts.stream().filter(ClientAttempt::lastAttempt).count())
                .isEqualTo(report.total().offered());
        assertThat(attempts.stream().map(ClientAttempt::outcome).filter(outcome -> outcome == expected))
                .isNotEmpty();
        assertThat(attempts).allMatch(attempt -> attempt.attemptNumber() < 6);
    }

    @Test
    void resettingTargetLosesOrFailsEveryRequest() throws Exception {
        RunReport report = runAgainstTarget(
                socket -> {
                    socket.setSoLinger(true, 0);
                    socket.close();
                },
                SHORT_PLAN);
        assertAllEnded(report, report.total().lost() > 0 ? ClientOutcome.BROKEN : ClientOutcome.UNREACHABLE);
        assertThat(report.total().lost() + report.total().failed())
                .isEqualTo(report.total().offered());
    }

    @Test
    void garbageResponsesAreLost() throws Exception {
        RunReport report = runAgainstTarget(
                socket -> {
                    socket.getOutputStream().write("garbage\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    socket.getOutputStream().flush();
                },
                SHORT_PLAN);
        assertAllEnded(report, ClientOutcome.GARBLED);
        assertThat(report.total().lost()).isEqualTo(report.total().offered());
    }

    @Test
    void unresponsiveTargetEndsEveryRequest() throws Exception {
        List<Socket> openSockets = new ArrayList<>();
        RunReport report = runAgainstTarget(openSockets::add, SHORT_PLAN);
        assertAllEnded(report, ClientOutcome.UNANSWERED);
        assertThat(report.total().lost()
                        + report.total().notSent()
                        + report.total().failed())
                .isEqualTo(report.total().offered());
    }

    @Test
    void unreachableTargetFailsEveryRequest() throws Exception {
        int port;
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = server.getLocalPort();
        }
        RunReport report;
        try (RequestLogWriter requestLog = RequestLogWriter.open(folder.resolve("c"), new LogHeader("clients", 1, 1))) {
            LoadRun run = new LoadRun(
                    LoadPlanReader.parse("p", SHORT_PLAN, folder),
                    List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)),
                    requestLog,
                    null);
            run.run();
            report = run.report(List.of());
        }
        assertAllEnded(report, ClientOutcome.UNREACHABLE);
        assertThat(report.total().failed()).isEqualTo(report.total().offered());
    }

    @Test
    void responseToOtherRequestIsGarbled() throws Exception {
        RunReport report = runAgainstTarget(
                socket -> {
                    socket.getInputStream().read(new byte[4_096]);
                    socket.getOutputStream()
                            .write("HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\nid=other host=h len=0 crc=0"
                                    .getBytes(StandardCharsets.US_ASCII));
                },
                SHORT_PLAN);
        assertAllEnded(report, ClientOutcome.GARBLED);
    }

    @Test
    void abandoningClientClosesConnectionAndLateResponseIsNotCounted() throws Exception {
        RunReport report = runAgainstCluster(
                hostsToml("{ dist = 'constant', mean_ms = 400 }", ""),
                "[[class]]\nname = 'c'\nsemantics = 'at-most-once'\naim_ms = 400\ndeadline_ms = 500\nbody_bytes = 0\n"
                        + "[clients]\nretries = 0\nannounced = false\ntry_share = [0.2, 0.2]\n"
                        + "[[shape]]\nkind = 'steady'\nfor_s = 1\nrate = 50\n");
        assertThat(report.total().abandoned()).isEqualTo(50);
        assertThat(report.total().latency().count()).isZero();
        assertThat(records("clients", ClientAttempt.class))
                .allMatch(attempt -> attempt.outcome() == ClientOutcome.ABANDONED);
        // Each connection was closed while its request was running.
        List<HostExecution> executions = records("hosts", HostExecution.class);
        assertThat(executions).hasSize(50).allMatch(execution -> execution.result() == ExecutionResult.LEFT);
    }

    @Test
    void interruptedRunReportsPartialResultsAndCompleteRequestLog() throws Exception {
        RunReport report;
        PrintStream errors = System.err;
        try (RequestLogWriter hostRequestLog = RequestLogWriter.disabled();
                RequestLogWriter requestLog =
                        RequestLogWriter.open(folder.resolve("c"), new LogHeader("clients", 1, 1));
                TestCluster cluster = new TestCluster(
                        TestClusterPlanReader.parse("h", hostsToml("{ dist = 'constant', mean_ms = 5 }", ""), 0),
                        ANY_PORT,
                        1,
                        hostRequestLog,
                        errors)) {
            cluster.start();
            LoadRun run = new LoadRun(
                    LoadPlanReader.parse(
                            "p", CLASS_TOML + "[[shape]]\nkind = 'poisson'\nfor_s = 3600\nrate = 200\n", folder),
                    List.of(cluster.address("s-0")),
                    requestLog,
                    null);
            Thread thread = new Thread(() -> {
                long deadline = System.nanoTime() + 30_000_000_000L;
                while (requestLog.recordCount() < 100 && System.nanoTime() < deadline) {
                    Thread.onSpinWait();
                }
                run.interrupt();
            });
            thread.start();
            run.run();
            report = run.report(List.of());
        }
        assertThat(report.interrupted()).isTrue();
        assertThat(report.total().inAim() + report.total().late()).isGreaterThan(50);
        assertThat(ReportTable.of(report)).contains("interrupted");
        assertThat(records("clients", ClientAttempt.class).stream()
                        .filter(ClientAttempt::lastAttempt)
                        .count())
                .isEqualTo(report.total().offered());
    }

    @Test
    void reportPageIsSelfContained() throws Exception {
        RunReport report = runAgainstCluster(
                hostsToml("{ dist = 'constant', mean_ms = 2 }", ""),
                CLASS_TOML + "[[tenant]]\nname = 't1'\n" + "[[shape]]\nkind = 'poisson'\nfor_s = 1\nrate = 100\n");
        ReportFiles.write(folder, report, "a <title>");
        String page = java.nio.file.Files.readString(folder.resolve("report.html"));
        assertThat(page)
                .contains("a &lt;title&gt;")
                .contains("<svg")
                .contains("c, t1")
                .doesNotContain("<script")
                .doesNotContain("http://")
                .doesNotContain("NaN");
        assertThat(java.nio.file.Files.readString(folder.resolve("report.json")))
                .contains("\"inAim\"");
    }
}
