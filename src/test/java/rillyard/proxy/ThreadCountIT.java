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

/**
 * Guards against threads that the built jar starts or ends while it serves, such as a second compiler thread or the
 * thread of Netty's global executor: all threads must exist when the proxy is ready, and stay.
 */
@Timeout(120)
class ThreadCountIT {
    private static final int REQUESTS = 10_000;
    private static final int BURST = 200;

    /** Longer than the idle time after which threads of the JVM or a library end (1 to 3 s). */
    private static final long IDLE_MILLIS = 5_000;

    /** Name of the thread that the JDK starts for each SIGHUP and ends at once. */
    private static final String SIGNAL_THREAD = "SIGHUP handler";

    @TempDir
    Path folder;

    /** Returns the names of the process's threads, as the kernel states them, by thread id. */
    private static Map<String, String> threads(ProxyProcess proxy) throws IOException {
        Map<String, String> names = new TreeMap<>();
        try (Stream<Path> all = Files.list(Path.of("/proc", Long.toString(proxy.pid()), "task"))) {
            for (Path path : all.toList()) {
                String name = name(path);
                if (!name.isEmpty() && !name.equals(SIGNAL_THREAD)) {
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
                Thread.sleep(IDLE_MILLIS); // idle threads would end in this time
                assertThat(threads(proxy)).as("after an idle time").isEqualTo(ready);
            }
        }
    }
}
