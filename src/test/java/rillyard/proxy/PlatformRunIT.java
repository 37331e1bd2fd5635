package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assumptions.assumeThat;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rillyard.benchmark.CpuContention;
import rillyard.childprocess.LaunchCommand;
import rillyard.childprocess.ProxyProcess;
import rillyard.childprocess.TestProcess;

/**
 * Runs the {@code run} commands of the files in deploy by the shell, as a platform does. Guards against a shell that
 * stays as parent and doesn't pass signals on, a launcher that parses options differently from java, and threads that
 * spin where the processor is shared.
 */
@Timeout(value = 180, unit = java.util.concurrent.TimeUnit.SECONDS)
class PlatformRunIT {
    private static final Path ROOT = Path.of("").toAbsolutePath();
    private static final Path LAUNCHER = ROOT.resolve("target/start");

    /** Maximum clock ticks (10 ms) of a thread of an idle proxy within 2 s; a thread that spins uses 30 or more. */
    private static final long IDLE_TICKS = 20;

    @TempDir
    Path folder;

    private static LaunchCommand shell(Path root, String file) throws IOException {
        String run = new TomlMapper()
                .readTree(ROOT.resolve("deploy").resolve(file).toFile())
                .get("run")
                .asText();
        return new LaunchCommand(Path.of("/bin/sh"), root, null, List.of("-c"), List.of(run), Map.of());
    }

    private ProxyProcess launch(LaunchCommand launch, ScriptedServer discovery) throws Exception {
        Path config = folder.resolve("config.json");
        Files.move(
                ProxyFixture.writeConfig(
                        discovery.port(), json -> {}, ProxyFixture.endpoint("a", ProxyFixture.freePort())),
                config);
        return ProxyProcess.launch(launch, config, ProxyProcess.freeAddress(), folder.resolve("log"));
    }

    private static String executableName(ProxyProcess proxy) throws IOException {
        return Path.of("/proc", Long.toString(proxy.pid()), "exe")
                .toRealPath()
                .getFileName()
                .toString();
    }

    private static List<Path> threads(ProxyProcess proxy) throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc", Long.toString(proxy.pid()), "task"))) {
            return all.toList();
        }
    }

    private static Map<String, Long> ticksByThread(ProxyProcess proxy) throws IOException {
        Map<String, Long> ticksByThread = new HashMap<>();
        for (Path thread : threads(proxy)) {
            String stat = Files.readString(thread.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            String name = thread.getFileName() + " " + stat.substring(stat.indexOf('('), stat.lastIndexOf(')') + 1);
            ticksByThread.put(name, Long.parseLong(fields[11]) + Long.parseLong(fields[12]));
        }
        return ticksByThread;
    }

    @ParameterizedTest
    @ValueSource(strings = {"balancer.toml", "launcher.toml"})
    void shellIsReplacedByProxyProcess(String file) throws Exception {
        boolean launcher = file.startsWith("launcher") && Files.isExecutable(LAUNCHER);
        try (ScriptedServer discovery = new ScriptedServer(TestPeer::awaitEnd);
                ProxyProcess proxy = launch(shell(ROOT, file), discovery)) {
            proxy.await(ProxyProcess.State.READY);
            assertThat(executableName(proxy)).isEqualTo(launcher ? "start" : "java");
            assertThat(ProcessHandle.of(proxy.pid()).orElseThrow().children()).isEmpty();
            proxy.process().terminate();
            assertThat(proxy.process().await()).isZero();
        }
    }

    @Test
    void buildWithoutLauncherStartsByJdk() throws Exception {
        Files.createSymbolicLink(folder.resolve("deploy"), ROOT.resolve("deploy"));
        Files.createDirectory(folder.resolve("target"));
        Files.createSymbolicLink(folder.resolve("target/rillyard.jar"), ROOT.resolve("target/rillyard.jar"));
        try (ScriptedServer discovery = new ScriptedServer(TestPeer::awaitEnd);
                ProxyProcess proxy = launch(shell(folder, "launcher.toml"), discovery)) {
            proxy.await(ProxyProcess.State.READY);
            assertThat(executableName(proxy)).isEqualTo("java");
        }
    }

    /** With a third of one core for all threads the proxy must still get ready, and no idle thread may spin. */
    @Test
    void starvedProxyGetsReadyAndIdles() throws Exception {
        try (CpuContention neighbours = new CpuContention("0", 1 / 3.0);
                ScriptedServer discovery = new ScriptedServer(TestPeer::awaitEnd);
                ProxyProcess proxy = launch(shell(ROOT, "balancer.toml").on("0"), discovery)) {
            proxy.await(ProxyProcess.State.READY);
            Map<String, Long> before = ticksByThread(proxy);
            Thread.sleep(2_000); // the ticks count processor time, which an idle thread doesn't use
            ticksByThread(proxy).forEach((thread, now) -> assertThat(now - before.getOrDefault(thread, 0L))
                    .as(thread)
                    .isLessThan(IDLE_TICKS));
            neighbours.checkRunning();
        }
    }

    private String runLauncher(Map<String, String> environment, int code, String... arguments) throws Exception {
        assumeThat(LAUNCHER).as("built where there is a C compiler").isExecutable();
        List<String> line = new ArrayList<>(List.of(LAUNCHER.toString()));
        line.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(line).redirectErrorStream(true);
        builder.environment().putAll(environment);
        Process process = TestProcess.start(builder);
        String output = TestProcess.read(process.getInputStream());
        assertThat(TestProcess.exitCode(process)).as(output).isEqualTo(code);
        return output;
    }

    @Test
    void launcherParsesArgumentsAsJava() throws Exception {
        Path file = folder.resolve("options");
        Files.writeString(file, "# a comment\n-Done=1 \"-Dtwo=a b\"\n-Xss300k\n");
        String output = runLauncher(
                Map.of(), 0, "@" + file, "-Dthree=3", "-XX:+PrintFlagsFinal", "-XshowSettings:properties", "-version");
        assertThat(output)
                .contains("one = 1")
                .contains("two = a b")
                .contains("three = 3")
                .containsPattern("ThreadStackSize +=? *= *300");
        assertThat(runLauncher(Map.of(), 2, "-jar", "target/rillyard.jar", "no-such-command"))
                .contains("no-such-command");
        assertThat(runLauncher(Map.of(), 1, "no.such.Main")).contains("no.such.Main");
    }

    /** The JDK's launcher reads JDK_JAVA_OPTIONS; ours must start that launcher if the variable is set. */
    @Test
    void launcherKeepsOptionsOfEnvironment() throws Exception {
        String output =
                runLauncher(Map.of("JDK_JAVA_OPTIONS", "-Dfrom=outside"), 0, "-XshowSettings:properties", "-version");
        assertThat(output).contains("from = outside");
    }
}
