package rillyard.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests help texts, exit codes and error messages of the commands. */
class CliTest {
    @TempDir
    Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... args) {
        return Cli.run(new PrintWriter(out, true), new PrintWriter(err, true), args);
    }

    @ParameterizedTest
    @ValueSource(strings = {"proxy", "adapter", "rehearse", "stand-in", "load", "audit", "demo", "measure", "subset"})
    void everyCommandHasHelpAndVersion(String command) {
        assertThat(run(command, "--help")).isZero();
        assertThat(out.toString()).contains("Usage: rillyard " + command);
        assertThat(run(command, "--version")).isZero();
        assertThat(out.toString()).contains("rillyard ");
    }

    @Test
    void wrongUsageReturnsExitCodeTwo() {
        assertThat(run()).isEqualTo(2);
        assertThat(run("laod")).isEqualTo(2);
        assertThat(run("load")).isEqualTo(2);
        assertThat(err.toString())
                .contains("Missing required options: '--target")
                .contains("--plan");
        assertThat(run("load", "--target", "localhost:1", "--plan", "p")).isEqualTo(2);
        assertThat(err.toString()).contains("'localhost:1', expected IP:port");
        assertThat(run("stand-in", "--hosts", "many")).isEqualTo(2);
        assertThat(run("measure", "start", "--cores", "1.5")).isEqualTo(2);
        assertThat(run("measure", "start", "--starts", "0")).isEqualTo(2);
        assertThat(run("measure", "start", "--against", folder.toString())).isEqualTo(2);
    }

    @Test
    void fleetStatisticsRequireTracesAndAcceptAnyBytes() throws Exception {
        Path log = folder.resolve("n1.log");
        Files.write(log, new byte[] {(byte) 0xff, '\n'});
        assertThat(run("measure", "fleet", log.toString())).isEqualTo(1); // no trace in it
        Files.writeString(log, "rillyard: trace 1 list - - 0 warm\n", StandardOpenOption.APPEND);
        assertThat(run("measure", "fleet", log.toString())).isZero();
        assertThat(run("measure", "fleet", folder.resolve("none").toString())).isEqualTo(2);
        assertThat(run("measure", "fleet", "--window", "0", log.toString())).isEqualTo(2);
        assertThat(run("measure", "fleet")).isEqualTo(2);
    }

    @Test
    void subsetPlanReportsSizesOrRequiredCapacity() {
        assertThat(run("subset", "plan", "--instances", "300", "--hosts", "20", "--cap", "400"))
                .isZero();
        assertThat(out.toString()).contains("| lots | 20 | 300, 300, 300 | 300 of 400 |");
        assertThat(run("subset", "plan", "--instances", "300", "--hosts", "20", "--cap", "10"))
                .isEqualTo(1);
        assertThat(out.toString()).contains("| lots | none: 300 instances with 2 hosts each put up to ");
        assertThat(run("subset", "plan", "--instances", "0", "--hosts", "20", "--cap", "10"))
                .isEqualTo(2);
        assertThat(run("subset", "plan", "--instances", "3", "--hosts", "20", "--cap", "1", "--reserve", "1"))
                .isEqualTo(2);
        assertThat(err.toString()).contains("--reserve from 0 to below 1");
    }

    @Test
    void invalidLoadPlanReturnsExitCodeTwoAndSendsNothing() throws Exception {
        Path plan = Files.writeString(folder.resolve("plan.toml"), "seed = 1\n[[shape]]\nkind = 'stedy'\nrate = 5\n");
        try (ServerSocket target = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            assertThat(run(
                            "load",
                            "--target",
                            "127.0.0.1:" + target.getLocalPort(),
                            "--plan",
                            plan.toString(),
                            "--ledger",
                            folder.resolve("l").toString()))
                    .isEqualTo(2);
            assertThat(err.toString())
                    .isEqualTo(plan + ":3: shape[0].kind: found 'stedy', expected one of steady, poisson, ramp,"
                            + " surge, wave, step; did you mean 'steady'?" + System.lineSeparator());
            target.setSoTimeout(1);
            assertThat(org.assertj.core.api.Assertions.catchThrowable(target::accept))
                    .isInstanceOf(SocketTimeoutException.class);
            assertThat(folder.resolve("l")).doesNotExist();
        }
    }

    @Test
    void invalidFaultScheduleReturnsExitCodeTwo() throws Exception {
        Path path = Files.writeString(folder.resolve("t.toml"), "[[fault]]\nkind = 'hang'\n");
        assertThat(run(
                        "stand-in",
                        "--timetable",
                        path.toString(),
                        "--ready-file",
                        folder.resolve("r").toString()))
                .isEqualTo(2);
        assertThat(err.toString()).contains(path + ":1: fault[0].host: is missing, expected a text");
        assertThat(folder.resolve("r")).doesNotExist();
    }

    @Test
    void auditOfMalformedLogReturnsExitCodeTwo() throws Exception {
        Path path = Files.writeString(folder.resolve("s.json"), "{\"classes\":[{\"name\":\"a\"}]}");
        Path logFile = Files.writeString(folder.resolve("l.jsonl"), "no ledger\n");
        assertThat(run(
                        "audit",
                        "--clients",
                        logFile.toString(),
                        "--hosts",
                        logFile.toString(),
                        "--settings",
                        path.toString()))
                .isEqualTo(2);
        assertThat(err.toString()).startsWith(logFile + ":1: expected a JSON object");
        assertThat(run(
                        "audit",
                        "--clients",
                        logFile.toString(),
                        "--hosts",
                        logFile.toString(),
                        "--settings",
                        logFile.toString()))
                .isEqualTo(2);
    }
}
