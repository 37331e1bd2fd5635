package rillyard.proxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rillyard.childprocess.TestProcess;
import rillyard.proxy.ProxyFixture;
import rillyard.proxy.ScriptedServer;
import rillyard.proxy.TestPeer;

/**
 * Guards against a process that goes on without its event loop, or without heap, and answers nothing: no supervisor
 * restarts a process that lives.
 */
@Timeout(120)
class EventLoopEndTest {
    @TempDir
    Path folder;

    private static ProcessBuilder java(List<String> options, Class<?> program) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), program.getName()));
        return new ProcessBuilder(command);
    }

    @Test
    void processEndsWithItsEventLoop() throws Exception {
        Path config = folder.resolve("config.json");
        Path errors = folder.resolve("errors");
        try (ScriptedServer discovery = new ScriptedServer(TestPeer::awaitEnd)) {
            Files.move(ProxyFixture.writeConfig(discovery.port(), json -> {}), config);
            ProcessBuilder builder = java(List.of(), EndedEventLoop.class).redirectError(errors.toFile());
            builder.environment().put("BALANCER_CONFIG", config.toString());
            assertThat(TestProcess.exitCode(TestProcess.start(builder))).isEqualTo(1);
        }
        assertThat(Files.readString(errors))
                .contains("proxy: event loop failed")
                .doesNotContain("Exception");
    }

    @Test
    void processEndsWhenItsHeapIsUsedUp() throws Exception {
        ProcessBuilder builder = java(List.of("@deploy/proxy.jvm"), HeapExhaustion.class);
        builder.redirectErrorStream(true);
        Process process = TestProcess.start(builder);
        assertThat(TestProcess.read(process.getInputStream())).contains("java.lang.OutOfMemoryError: Java heap space");
        assertThat(TestProcess.exitCode(process)).isEqualTo(3); // the JVM's own status for this
    }
}
