package rillyard.proxy;

import static java.nio.file.StandardCopyOption.REPLACE_EXISTING;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rillyard.childprocess.TestProcess;

/**
 * Guards against faults that only the built jar shows: in its reaction to signals, its exit codes, its memory use, and
 * classes that are missing from the class archive. Runs the commands {@code proxy} and {@code adapter} with the options
 * that the platform uses.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class JarIT {
    /**
     * Maximum number of classes that are loaded from outside the archive. The JVM generates some at run time, such as
     * proxies of annotations, method handles and accessors; 15 now.
     */
    private static final long MAX_CLASSES_OUTSIDE_ARCHIVE = 25;

    private static Process start(Path config, String command) throws IOException {
        return start(config, command, Map.of());
    }

    private static Process start(Path config, String command, Map<String, String> environment) throws IOException {
        List<String> line = new ArrayList<>();
        line.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        if (command.equals("proxy")) {
            line.addAll(List.of("@deploy/proxy.jvm", "-XX:SharedArchiveFile=target/rillyard.jsa"));
        }
        line.addAll(List.of("-jar", "target/rillyard.jar", command));
        ProcessBuilder builder = new ProcessBuilder(line);
        builder.environment().keySet().removeIf(name -> name.startsWith("BALANCER_"));
        if (config != null) {
            builder.environment().put("BALANCER_CONFIG", config.toString());
        }
        builder.environment().putAll(environment);
        return TestProcess.start(builder);
    }

    private static String errors(Process process) throws IOException {
        return TestProcess.read(process.getErrorStream());
    }

    /** A proxy process that is ready, with one host and a discovery that never responds. */
    private static final class RunningProxy implements AutoCloseable {
        final int port = ProxyFixture.freePort();
        final Process process;
        private final ScriptedServer discovery = new ScriptedServer(TestPeer::awaitEnd);
        private final Path config;

        RunningProxy(ScriptedServer host) throws Exception {
            this(host, Map.of());
        }

        RunningProxy(ScriptedServer host, Map<String, String> environment) throws Exception {
            config = ProxyFixture.writeConfig(
                    discovery.port(),
                    json -> json.put("listen", "127.0.0.1:" + port),
                    ProxyFixture.endpoint("a", host.port()));
            process = start(config, "proxy", environment);
            awaitReady();
        }

        /** Writes the same configuration, but for the address of discovery, to a new file and returns its path. */
        Path newConfig(ScriptedServer discovery, ScriptedServer host) throws IOException {
            return ProxyFixture.writeConfig(
                    discovery.port(),
                    config -> config.put("listen", "127.0.0.1:" + port),
                    ProxyFixture.endpoint("a", host.port()));
        }

        void signal(String name) throws Exception {
            TestProcess.signal(process.pid(), name);
        }

        private void awaitReady() throws Exception {
            for (int i = 0; i < 2_000; i++) {
                try (TestPeer peer = TestPeer.connect(port)) {
                    peer.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
                    if (peer.read().status() == 200) {
                        return;
                    }
                } catch (IOException e) {
                    // not listening yet
                }
                Thread.sleep(10);
            }
            throw new AssertionError("not ready");
        }

        @Override
        public void close() throws IOException {
            process.destroyForcibly();
            discovery.close();
            Files.delete(config);
        }
    }

    @Test
    void sigtermAnswersOpenRequestsAndExitsWithZero() throws Exception {
        java.util.concurrent.CountDownLatch answer = new java.util.concurrent.CountDownLatch(1);
        try (ScriptedServer host = ScriptedServer.host(message -> {
                    if (message.text().equals("slow")) {
                        answer.await();
                    }
                    return ScriptedServer.ok("served");
                });
                RunningProxy proxy = new RunningProxy(host)) {
            try (TestPeer held = TestPeer.connect(proxy.port);
                    TestPeer idle = TestPeer.connect(proxy.port)) {
                idle.write(ProxyFixture.post("claim", 800, "", "x"));
                assertThat(idle.read().status()).isEqualTo(200);
                host.nextRequest();
                held.write(ProxyFixture.post("claim", 1_200, "", "slow"));
                host.nextRequest();
                proxy.process.toHandle().destroy(); // SIGTERM; Process.destroy would also close the process's streams
                assertThat(idle.read()).isNull();
                try (TestPeer late = TestPeer.connect(proxy.port)) {
                    late.write(ProxyFixture.post("claim", 800, "", "x"));
                    TestPeer.Message response = late.read();
                    assertThat(response.status()).isEqualTo(200);
                    assertThat(response.header("Connection")).isEqualToIgnoringCase("close");
                }
                answer.countDown();
                assertThat(held.read().text()).isEqualTo("served");
            }
            assertThat(proxy.process.waitFor(20, TimeUnit.SECONDS)).isTrue();
            assertThat(proxy.process.exitValue()).isZero();
            assertThat(errors(proxy.process)).contains("drained");
        }
    }

    @Test
    void manyLargeBodiesStayWithinMemoryLimit() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("" + message.body().length));
                RunningProxy proxy = new RunningProxy(host)) {
            byte[] body = new byte[(64 << 10) - 1];
            List<TestPeer> clients = new ArrayList<>();
            for (int i = 0; i < 400; i++) { // 25 MB at once if all were received
                TestPeer peer = TestPeer.connect(proxy.port);
                clients.add(peer);
                Thread thread = new Thread(() -> {
                    try {
                        peer.write(ProxyFixture.head("POST", "claim", 20_000, "")
                                + "Content-Length: "
                                + (body.length + 1)
                                + "\r\n\r\n");
                        peer.write(body);
                        peer.write("x");
                    } catch (IOException e) {
                        // The request was rejected before its end, and its response can be read nevertheless.
                    }
                });
                thread.setDaemon(true);
                thread.start();
            }
            for (TestPeer peer : clients) {
                assertThat(peer.read().status()).isIn(200, 503);
                peer.close();
            }
            String status = Files.readString(Path.of("/proc/" + proxy.process.pid() + "/status"));
            String peak = status.replaceAll("(?s).*VmHWM:\\s*(\\d+) kB.*", "$1");
            assertThat(Integer.parseInt(peak)).isLessThan(128 * 1024);
        }
    }

    @Test
    void proxyLoadsClassesFromArchive() throws Exception {
        Process process = TestProcess.start(new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "@deploy/proxy.jvm",
                        "-XX:SharedArchiveFile=target/rillyard.jsa",
                        "-Xlog:class+load",
                        "-jar",
                        "target/rillyard.jar",
                        "rehearse")
                .redirectErrorStream(true));
        String log = TestProcess.read(process.getInputStream());
        assertThat(TestProcess.exitCode(process)).isZero();
        assertThat(log)
                .contains("rillyard.proxy.dispatch.BalancerDriver source: shared objects file (top)")
                .contains("io.netty.handler.codec.http.HttpObjectDecoder source: shared objects file (top)")
                .doesNotContain(
                        "picocli",
                        "HdrHistogram",
                        "dataformat.toml",
                        "channel.epoll",
                        "rillyard.cli",
                        "rillyard.loadgen",
                        "rillyard.trace.",
                        "rillyard.testserver",
                        "rillyard.audit",
                        "rillyard.demo",
                        "rillyard.requestlog",
                        "rillyard.scheduling",
                        "rillyard.config",
                        "rillyard.childprocess",
                        "rillyard.benchmark",
                        "rillyard.subset",
                        "rillyard.membership",
                        "rillyard.faultinjection")
                // Each of these made every start slower: an object mapper with calendars and locales, events of the
                // flight recorder, and the search for logging libraries that are absent.
                .doesNotContain("databind.ObjectMapper ", "jdk.jfr.internal.EventClassBuilder", "Slf4JLogger");
        long outside = log.lines()
                .filter(line -> line.contains(" source: ") && !line.contains("shared objects file"))
                .count();
        assertThat(outside).as("classes from outside the archive").isBetween(1L, MAX_CLASSES_OUTSIDE_ARCHIVE);
    }

    /**
     * Guards against classes that the first failures load on the event loop, which delays all other requests: by 25 to
     * 40 ms on half a core where they are not in the archive.
     */
    @Test
    void firstFailuresLoadNoClassOutsideArchive() throws Exception {
        Path loaded = Files.createTempFile("classes", ".log");
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    peer.reset();
                });
                RunningProxy proxy =
                        new RunningProxy(host, Map.of("JAVA_TOOL_OPTIONS", "-Xlog:class+load:file=" + loaded))) {
            long linesBefore = lineCount(loaded);
            for (int i = 0; i < 4; i++) {
                try (TestPeer client = TestPeer.connect(proxy.port)) {
                    client.write(ProxyFixture.post("claim", 300, "", "x"));
                    assertThat(client.read().status()).isIn(502, 503, 504);
                }
            }
            List<String> onFailure =
                    Files.readAllLines(loaded).stream().skip(linesBefore).toList();
            assertThat(onFailure)
                    .noneMatch(line -> line.contains("java.util.Formatter"))
                    .filteredOn(line -> line.contains(" source: ") && !line.contains("shared objects file"))
                    .filteredOn(line -> line.contains(" rillyard.") || line.contains(" io.netty."))
                    .isEmpty();
        } finally {
            Files.delete(loaded);
        }
    }

    private static long lineCount(Path file) throws IOException {
        try (Stream<String> lines = Files.lines(file)) {
            return lines.count();
        }
    }

    @Test
    void sighupMovesWatchAndKeepsServing() throws Exception {
        BlockingQueue<String> watchRequests = new LinkedBlockingQueue<>();
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("served"));
                ScriptedServer moved = new ScriptedServer(peer -> {
                    watchRequests.add(peer.read().startLine());
                    peer.awaitEnd();
                });
                RunningProxy proxy = new RunningProxy(host)) {
            // A file that is not JSON, one with an invalid value, and a valid one.
            for (String file : new String[] {"{", "{\"settings\":{\"classes\":7}}", null}) {
                if (file == null) {
                    Files.move(proxy.newConfig(moved, host), proxy.config, REPLACE_EXISTING);
                } else {
                    Files.writeString(proxy.config, file);
                }
                proxy.signal("HUP");
                try (TestPeer client = TestPeer.connect(proxy.port)) {
                    client.write(ProxyFixture.post("claim", 800, "", "x"));
                    assertThat(client.read().text()).isEqualTo("served");
                }
            }
            assertThat(watchRequests.poll(20, TimeUnit.SECONDS)).contains("follow=1&since=1 ");
            assertThat(proxy.process.isAlive()).isTrue();
        }
    }

    @Test
    void missingConfigurationExitsWithOneLine() throws Exception {
        Process process = start(null, "proxy");
        assertThat(TestProcess.exitCode(process)).isEqualTo(1);
        assertThat(errors(process)).isEqualTo("rillyard: BALANCER_CONFIG is not set\n");
    }

    @Test
    void adapterAnswersBatch() throws Exception {
        Process process = start(null, "adapter");
        process.getOutputStream().write("sync wall=1.0\neob\n".getBytes(StandardCharsets.UTF_8));
        process.getOutputStream().close();
        assertThat(TestProcess.read(process.getInputStream())).isEqualTo("ok\n");
        assertThat(TestProcess.exitCode(process)).isZero();
    }
}
