package rillyard.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rillyard.childprocess.ProxyProcess;
import rillyard.childprocess.TestProcess;
import rillyard.requestlog.RequestLogReader;

/** Runs the built jar as the documentation describes, each command as a process of its own. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class UsageIT {
    /** Well below the time after which a shutdown stops waiting for its command (20 s). */
    private static final Duration SHUTDOWN_LIMIT = Duration.ofSeconds(12);

    @TempDir
    Path folder;

    private final List<Process> started = new ArrayList<>();

    private Process rillyard(String... args) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(
                List.of("-jar", Path.of("target/rillyard.jar").toAbsolutePath().toString()));
        command.addAll(List.of(args));
        Process process = TestProcess.start(new ProcessBuilder(command).directory(folder.toFile()));
        started.add(process);
        return process;
    }

    @AfterEach
    void killProcesses() {
        started.forEach(Process::destroyForcibly);
    }

    private static String out(Process process) throws IOException {
        return TestProcess.read(process.getInputStream());
    }

    private static void await(Path file, Process process) throws InterruptedException {
        while (!Files.exists(file) && process.isAlive()) {
            Thread.sleep(10);
        }
        assertThat(file).exists();
    }

    private static void signal(Process process, String name) throws Exception {
        TestProcess.signal(process.pid(), name);
    }

    /** Sends a signal and checks that the process ends within {@link #SHUTDOWN_LIMIT}. */
    private static void end(Process process, String signalName) throws Exception {
        long startNanos = System.nanoTime();
        signal(process, signalName);
        TestProcess.exitCode(process);
        assertThat(Duration.ofNanos(System.nanoTime() - startNanos))
                .as("time from SIG%s to the end", signalName)
                .isLessThan(SHUTDOWN_LIMIT);
    }

    @Test
    void documentedTestClusterLoadAndAuditCommandsWork() throws Exception {
        Files.writeString(folder.resolve("faults.toml"), "[[fault]]\nkind = 'slow'\nhost = 's-3'\nat_s = 0\n");
        Files.writeString(
                folder.resolve("plan.toml"),
                "lateness_ms = 5000\n[clients]\ncount = 20\n[[shape]]\nkind = 'poisson'\nfor_s = 2\nrate = 100\n");
        Process cluster = rillyard(
                "stand-in",
                "--hosts",
                "20",
                "--listen",
                "127.0.0.1:0",
                "--ready-file",
                "ready.json",
                "--ledger",
                "hosts.jsonl",
                "--timetable",
                "faults.toml");
        Path ready = folder.resolve("ready.json");
        await(ready, cluster);
        JsonNode readyFile = new ObjectMapper().readTree(ready.toFile());
        assertThat(readyFile.path("hosts")).hasSize(20);
        Process load;
        try (ProxyProcess proxy = ProxyProcess.start(ready, folder.resolve("proxy.log"))) {
            String target = "127.0.0.1:" + proxy.address().getPort();
            load = rillyard(
                    "load",
                    "--target",
                    target,
                    "--plan",
                    "plan.toml",
                    "--ledger",
                    "clients.jsonl",
                    "--report",
                    "out/",
                    "--json");
            JsonNode report = new ObjectMapper().readTree(out(load));
            assertThat(TestProcess.exitCode(load)).isZero();
            assertThat(report.path("total").path("offered").asInt()).isBetween(140, 260);
            assertThat(report.path("total").path("inAim").asInt()).isGreaterThan(100);
            for (String fileName : List.of("report.html", "report.json", "latency.hgrm", "service.hgrm")) {
                assertThat(folder.resolve("out").resolve(fileName)).isNotEmptyFile();
            }
        }
        end(cluster, "TERM");
        Process audit =
                rillyard("audit", "--clients", "clients.jsonl", "--hosts", "hosts.jsonl", "--settings", "ready.json");
        assertThat(out(audit)).contains("ANSWER  kept").contains(" 0 breaches\n");
        assertThat(TestProcess.exitCode(audit)).isZero();
    }

    @Test
    void interruptedRunIsReportedWithCompleteRequestLogs() throws Exception {
        Files.writeString(
                folder.resolve("plan.toml"),
                "lateness_ms = 5000\n[[shape]]\nkind = 'poisson'\nfor_s = 3600\nrate = 300\n");
        Process cluster = rillyard("stand-in", "--cold", "--ready-file", "ready.json", "--ledger", "hosts.jsonl");
        await(folder.resolve("ready.json"), cluster);
        String host = new ObjectMapper()
                .readTree(folder.resolve("ready.json").toFile())
                .path("hosts")
                .get(0)
                .path("addr")
                .asText();
        Process load = rillyard("load", "--cold", "--target", host, "--plan", "plan.toml", "--ledger", "clients.jsonl");
        Path clients = folder.resolve("clients.jsonl");
        await(clients, load);
        while (Files.size(clients) == 0 && load.isAlive()) { // until the first complete block
            Thread.sleep(10);
        }
        signal(load, "INT");
        assertThat(out(load))
                .contains("interrupted: open requests were abandoned")
                .contains("claim");
        TestProcess.exitCode(load);
        end(cluster, "INT");
        int[] lines = new int[2];
        assertThat(RequestLogReader.read(clients, "clients", line -> lines[0]++))
                .isTrue();
        assertThat(RequestLogReader.read(folder.resolve("hosts.jsonl"), "hosts", logRecord -> lines[1]++))
                .isTrue();
        assertThat(lines[0]).isGreaterThan(100);
        assertThat(lines[1]).isGreaterThan(100);
    }
}
