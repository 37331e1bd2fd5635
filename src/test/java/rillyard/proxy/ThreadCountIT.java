package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import rillyard.childprocess.LaunchCommand;
import rillyard.childprocess.ProxyProcess;
import rillyard.childprocess.TestProcess;

/** The built jar makes its threads before it is ready, and none of them ends while it serves. */
@Timeout(120)
class ThreadCountIT {
    private static final int REQUESTS = 10_000;
    private static final int BURST = 200;

    /** Longer than the quiet after which idle threads of JVM or library have been seen to end (1 to 3 s). */
    private static final long QUIET_MILLIS = 5_000;

    /** The JDK makes one for each signal and ends it at once. */
    private static final String SIGNAL = "SIGHUP handler";

    @TempDir
    Path folder;

    /** Threads by number, with the names that the system knows. */
    private static Map<String, String> threads(ProxyProcess proxy) throws IOException {
        Map<String, String> names = new TreeMap<>();
        try (Stream<Path> all = Files.list(Path.of("/proc", Long.toString(proxy.pid()), "task"))) {
            for (Path path : all.toList()) {
                String name = name(path);
                if (!name.isEmpty() && !name.equals(SIGNAL)) {
                    names.put(path.getFileName().toString(), name);
                }
            }
        }
        return names;
    }

    private static String name(Path thread) throws IOException {
        try {
            return Files.readString(thread.resolve("comm")).strip();
        } catch (NoSuchFileException e) {
            return ""; // it ended while they were listed
        } catch (IOException e) {
            return e.getMessage().contains("No such process") ? "" : fail(e);
        }
    }

    private static String fail(IOException e) throws IOException {
        throw e;
    }

    @Test
    void threadsAreConstantOnceReady() throws Exception {
        try (ScriptedServer silent = new ScriptedServer(TestPeer::awaitEnd);
                ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("served"))) {
            Path config = folder.resolve("config.json");
            Files.move(
                    ProxyFixture.writeConfig(silent.port(), json -> {}, ProxyFixture.endpoint("a", host.port())),
                    config);
            LaunchCommand built = LaunchCommand.platform(Path.of("").toAbsolutePath());
            try (ProxyProcess proxy =
                    ProxyProcess.launch(built, config, ProxyProcess.freeAddress(), folder.resolve("log"))) {
                proxy.await(ProxyProcess.State.READY);
                Map<String, String> ready = threads(proxy);
                assertThat(ready).containsValue("C1 CompilerThre");
                try (TestPeer peer = TestPeer.connect(proxy.address().getPort())) {
                    for (int i = 0; i < REQUESTS; i++) {
                        peer.write(ProxyFixture.get("read", 1_500));
                        peer.read();
                    }
                }
                assertThat(threads(proxy)).as("after %d requests", REQUESTS).isEqualTo(ready);
                TestProcess.signal(proxy.pid(), "HUP");
                List<TestPeer> burst = new ArrayList<>();
                try {
                    for (int i = 0; i < BURST; i++) {
                        TestPeer client = TestPeer.connect(proxy.address().getPort());
                        burst.add(client);
                        client.write(ProxyFixture.get("read", 1_500));
                    }
                    for (TestPeer client : burst) {
                        assertThat(client.read()).isNotNull();
                    }
                } finally {
                    for (TestPeer client : burst) {
                        client.close();
                    }
                }
                assertThat(threads(proxy)).as("after a reload and a burst").isEqualTo(ready);
                Thread.sleep(QUIET_MILLIS); // quiet is the fault here
                assertThat(threads(proxy)).as("after quiet").isEqualTo(ready);
            }
        }
    }
}
