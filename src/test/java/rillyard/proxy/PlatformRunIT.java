package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rillyard.benchmark.CpuContention;
import rillyard.childprocess.LaunchCommand;
import rillyard.childprocess.ProxyProcess;

/**
 * Runs the {@code run} command of the deploy file by the shell, as a platform does. Guards against a shell that stays as
 * parent and doesn't pass signals on, and threads that spin where the processor is shared.
 */
@Timeout(value = 180, unit = java.util.concurrent.TimeUnit.SECONDS)
class PlatformRunIT {
    private static final Path ROOT = Path.of("").toAbsolutePath();

    /** Maximum clock ticks (10 ms) of a thread of an idle proxy within 2 s; a thread that spins uses 30 or more. */
    private static final long IDLE_TICKS = 20;

    @TempDir
    Path folder;

    private static LaunchCommand runCommand() throws IOException {
        String run = new TomlMapper()
                .readTree(ROOT.resolve("deploy/balancer.toml").toFile())
                .get("run")
                .asText();
        return new LaunchCommand(Path.of("/bin/sh"), ROOT, null, List.of("-c"), List.of(run), Map.of());
    }

    private ProxyProcess launch(LaunchCommand launch, ScriptedServer discovery) throws Exception {
        Path config = folder.resolve("config.json");
        Files.move(
                ProxyFixture.writeConfig(
                        discovery.port(), json -> {}, ProxyFixture.endpoint("a", ProxyFixture.freePort())),
                config);
        return ProxyProcess.launch(launch, config, ProxyProcess.ANY_PORT, folder.resolve("log"));
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

    @Test
    void shellIsReplacedByProxyProcess() throws Exception {
        try (ScriptedServer discovery = new ScriptedServer(TestPeer::awaitEnd);
                ProxyProcess proxy = launch(runCommand(), discovery)) {
            proxy.await(ProxyProcess.State.READY);
            assertThat(executableName(proxy)).isEqualTo("java");
            assertThat(ProcessHandle.of(proxy.pid()).orElseThrow().children()).isEmpty();
            proxy.process().terminate();
            assertThat(proxy.process().await()).isZero();
        }
    }

    /** With a third of one core for all threads the proxy must still get ready, and no idle thread may spin. */
    @Test
    void starvedProxyGetsReadyAndIdles() throws Exception {
        try (CpuContention neighbours = new CpuContention("0", 1 / 3.0);
                ScriptedServer discovery = new ScriptedServer(TestPeer::awaitEnd);
                ProxyProcess proxy = launch(runCommand().on("0"), discovery)) {
            proxy.await(ProxyProcess.State.READY);
            Map<String, Long> before = ticksByThread(proxy);
            Thread.sleep(2_000); // the ticks count processor time, which an idle thread doesn't use
            ticksByThread(proxy).forEach((thread, now) -> assertThat(now - before.getOrDefault(thread, 0L))
                    .as(thread)
                    .isLessThan(IDLE_TICKS));
            neighbours.checkRunning();
        }
    }
}
