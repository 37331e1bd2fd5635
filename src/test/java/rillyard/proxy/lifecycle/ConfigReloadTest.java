package rillyard.proxy.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.AbstractMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rillyard.childprocess.TestProcess;
import rillyard.proxy.ProxyFixture;
import rillyard.proxy.config.ProxyConfig;
import rillyard.proxy.logging.ProxyLog;

/**
 * Guards against reloads by SIGHUP that are lost: the process ignores the signal without a log line, or two reloads at
 * once apply an outdated file last.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ConfigReloadTest {
    private static final String IGNORED_MESSAGE = "SIGHUP is ignored by this process";

    /** Starts a proxy in a shell that runs {@code preparation} first; returns its log up to {@code lastLogText}. */
    private static String logOfStart(String preparation, String lastLogText) throws Exception {
        Path config = ProxyFixture.writeConfig(1, json -> {});
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder =
                new ProcessBuilder("sh", "-c", preparation + " exec \"$0\" \"$@\"", java, "rillyard.Main", "proxy");
        builder.environment().put("CLASSPATH", System.getProperty("java.class.path"));
        builder.environment().put("BALANCER_CONFIG", config.toString());
        Process process = TestProcess.start(builder);
        try (BufferedReader lines = process.errorReader(StandardCharsets.UTF_8)) {
            StringBuilder log = new StringBuilder();
            String line;
            while (!log.toString().contains(lastLogText) && (line = lines.readLine()) != null) {
                log.append(line).append('\n');
                if (line.contains("watch:") && !lastLogText.equals(IGNORED_MESSAGE)) {
                    process.toHandle().destroy(); // the signal handler is installed before a drain is logged
                }
            }
            return log.toString();
        } finally {
            TestProcess.exitCode(process.destroyForcibly());
            Files.delete(config);
        }
    }

    @Test
    void ignoredSighupIsLoggedOnceAtStart() throws Exception {
        assertThat(logOfStart("trap '' HUP;", IGNORED_MESSAGE)).containsOnlyOnce(IGNORED_MESSAGE);
    }

    @Test
    void sighupThatIsNotIgnoredIsNotLogged() throws Exception {
        assertThat(logOfStart("", "proxy: drained")).doesNotContain(IGNORED_MESSAGE);
    }

    /** An environment whose first read blocks until {@link #release} opens, and that counts its reads. */
    private static final class BlockingEnvironment extends AbstractMap<String, String> {
        private final Path file;
        final CountDownLatch firstReadStarted = new CountDownLatch(1);
        final CountDownLatch release = new CountDownLatch(1);
        final AtomicInteger readCount = new AtomicInteger();

        BlockingEnvironment(Path file) {
            this.file = file;
        }

        @Override
        public String get(Object key) {
            if (readCount.incrementAndGet() == 1) {
                firstReadStarted.countDown();
                try {
                    release.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            return key.equals("BALANCER_CONFIG") ? file.toString() : null;
        }

        @Override
        public Set<Map.Entry<String, String>> entrySet() {
            return Set.of(Map.entry("BALANCER_CONFIG", file.toString()));
        }
    }

    @Test
    void simultaneousReloadsAreSerializedAndLastAppliesNewestFile() throws Exception {
        Path file = ProxyFixture.writeConfig(1_001, json -> {});
        BlockingEnvironment env = new BlockingEnvironment(file);
        List<Integer> applied = Collections.synchronizedList(new ArrayList<>());
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        ConfigReload reload = new ConfigReload(
                env,
                (ProxyConfig config) -> applied.add(config.discovery().getPort()),
                new ProxyLog(new PrintStream(log, true, StandardCharsets.UTF_8)));
        Thread first = new Thread(reload::run);
        first.start();
        env.firstReadStarted.await();
        Thread second = new Thread(reload::run);
        second.start();
        awaitBlockedOrEnded(second);
        assertThat(env.readCount.get()).as("simultaneous reloads").isEqualTo(1);
        replace(file, 1_002);
        env.release.countDown();
        first.join();
        second.join();
        assertThat(applied).hasSize(2).endsWith(1_002);
        assertThat(log.toString(StandardCharsets.UTF_8).lines()).hasSize(2).allMatch(line -> line.endsWith("reloaded"));
        Files.delete(file);
    }

    private static void awaitBlockedOrEnded(Thread thread) throws InterruptedException {
        while (thread.getState() != Thread.State.BLOCKED && thread.getState() != Thread.State.TERMINATED) {
            Thread.sleep(1);
        }
    }

    private static void replace(Path file, int discoveryPort) throws IOException {
        Files.move(ProxyFixture.writeConfig(discoveryPort, json -> {}), file, StandardCopyOption.REPLACE_EXISTING);
    }
}
