package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rillyard.childprocess.LaunchCommand;
import rillyard.childprocess.ProxyProcess;

/**
 * Guards against a fleet of proxies that together overload a host that has just started. Each of them knows only its
 * own requests; the requests that all processes send to the host are counted in each window and must not exceed what
 * the settings allow by more than random variation.
 */
@Timeout(value = 180, unit = TimeUnit.SECONDS)
class SlowStartIT {
    private static final LaunchCommand BUILT =
            LaunchCommand.platform(Path.of("").toAbsolutePath());
    private static final int WARM_HOSTS = 5;
    private static final double WARM_UP_MILLIS = 8_700;
    private static final double INITIAL_CAPACITY = 0.3;
    /** Low, so that a new host that gets as many requests as each of the others gets too many. */
    private static final double FALL_MULTIPLE = 0.6;

    private static final double WINDOW_MILLIS = 1_500;

    /** Requests per second of each process: few, so that a process can infer little about the fleet. */
    private static final double REQUESTS_PER_SECOND = 3;

    /** Fraction of the hosts' capacity that the load of the fleet uses. */
    private static final double UTILIZATION = 0.8;

    private static final long SEED = 20_261_202;

    @TempDir
    Path folder;

    private final Queue<Long> arrivals = new ConcurrentLinkedQueue<>();
    private final List<AutoCloseable> closeables = new ArrayList<>();

    private <T extends AutoCloseable> T closeLater(T resource) {
        synchronized (closeables) {
            closeables.add(resource);
        }
        return resource;
    }

    private static String endpointStartedAt(String id, int port, long startedUnixMillis) throws IOException {
        ObjectMapper json = new ObjectMapper();
        return ((ObjectNode) json.readTree(ProxyFixture.endpoint(id, port)))
                .put("started_ms", startedUnixMillis)
                .toString();
    }

    /** Starts a discovery that sends keep-alive blank lines, and the list as soon as the latch opens. */
    private static ScriptedServer discovery(CountDownLatch announced, String[] announcedList) throws IOException {
        return new ScriptedServer(peer -> {
            peer.read();
            peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            while (!announced.await(500, TimeUnit.MILLISECONDS)) {
                peer.write("1\r\n\n\r\n");
            }
            String line = announcedList[0] + "\n";
            peer.write(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
            CountDownLatch end = new CountDownLatch(1);
            while (!end.await(500, TimeUnit.MILLISECONDS)) {
                peer.write("1\r\n\n\r\n");
            }
        });
    }

    private ProxyProcess launch(int number, int processes, int discovery, String... known) throws Exception {
        Path config = folder.resolve("config-" + number + ".json");
        Files.move(
                ProxyFixture.writeConfig(
                        discovery,
                        json -> {
                            json.put("seed", Long.toHexString(SEED * (number + 1)));
                            ObjectNode settings = (ObjectNode) json.get("settings");
                            settings.put("balancers", processes).put("position", number);
                            ((ObjectNode) settings.get("rules")).put("fallMultiple", FALL_MULTIPLE);
                        },
                        known),
                config);
        return closeLater(ProxyProcess.launch(BUILT, config, ProxyProcess.ANY_PORT, folder.resolve("log-" + number)));
    }

    /** Starts a client that sends requests at random times until the latch opens. */
    private Thread clients(ProxyProcess proxy, int number, CountDownLatch end) {
        Thread thread = new Thread(() -> {
            Random random = new Random(SEED + number);
            try (TestPeer peer = TestPeer.connect(proxy.address().getPort())) {
                while (!end.await(
                        (long) (-Math.log(1 - random.nextDouble()) * 1_000 / REQUESTS_PER_SECOND),
                        TimeUnit.MILLISECONDS)) {
                    peer.write(ProxyFixture.get("read", 800));
                    peer.read();
                }
            } catch (Exception e) {
                // its connection has ended: its requests are missing, which can only lower the counts
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @ParameterizedTest
    @CsvSource({"20, 6", "30, 10", "30, 30"})
    void fleetKeepsSlowStartAllowanceOfNewHost(int processes, int lateProcesses) throws Exception {
        try {
            CountDownLatch announced = new CountDownLatch(1);
            CountDownLatch end = new CountDownLatch(1);
            String[] announcedList = new String[1];
            ScriptedServer discovery = closeLater(discovery(announced, announcedList));
            List<String> endpoints = new ArrayList<>();
            for (int i = 0; i < WARM_HOSTS; i++) {
                endpoints.add(ProxyFixture.endpoint(
                        "warm" + i,
                        closeLater(ScriptedServer.host(message -> ScriptedServer.ok("w")))
                                .port()));
            }
            ScriptedServer cold = closeLater(ScriptedServer.host(message -> {
                arrivals.add(System.nanoTime());
                return ScriptedServer.ok("c");
            }));
            List<ProxyProcess> running = new ArrayList<>();
            for (int i = lateProcesses; i < processes; i++) {
                running.add(launch(i, processes, discovery.port(), endpoints.toArray(String[]::new)));
            }
            List<Thread> senders = new ArrayList<>();
            for (int i = 0; i < running.size(); i++) {
                running.get(i).await(ProxyProcess.State.READY);
                senders.add(clients(running.get(i), lateProcesses + i, end));
            }
            // The late processes start with the new host on their cached list; it is in slow start when they are ready.
            List<ProxyProcess> lateProxies = new ArrayList<>();
            long startedUnixMillis = System.currentTimeMillis();
            endpoints.add(endpointStartedAt("cold", cold.port(), startedUnixMillis));
            announcedList[0] = ProxyFixture.endpointList(2, true, endpoints.toArray(String[]::new));
            for (int i = 0; i < lateProcesses; i++) {
                lateProxies.add(launch(i, processes, discovery.port(), endpoints.toArray(String[]::new)));
            }
            for (ProxyProcess proxy : lateProxies) {
                proxy.await(ProxyProcess.State.READY);
            }
            long startedNanos = System.nanoTime() - (System.currentTimeMillis() - startedUnixMillis) * 1_000_000;
            announced.countDown();
            for (int i = 0; i < lateProxies.size(); i++) {
                senders.add(clients(lateProxies.get(i), i, end));
            }
            while (System.nanoTime() - startedNanos < (WARM_UP_MILLIS + WINDOW_MILLIS) * 1e6) {
                Thread.sleep(50);
            }
            end.countDown();
            for (Thread thread : senders) {
                thread.join();
            }
            checkAllowance(processes, startedNanos);
        } finally {
            for (int i = closeables.size() - 1; i >= 0; i--) {
                closeables.get(i).close();
            }
        }
    }

    private void checkAllowance(int processes, long startedNanos) {
        // Requests per second to the host once it is warm.
        double capacityPerSecond = processes * REQUESTS_PER_SECOND / (WARM_HOSTS + 1) / UTILIZATION;
        List<Double> arrivalMillis = arrivals.stream()
                .map(arrival -> (arrival - startedNanos) / 1e6)
                .sorted()
                .toList();
        System.out.printf(
                "cold ramp: %d processes, %d requests in %.0f ms%n", processes, arrivalMillis.size(), WARM_UP_MILLIS);
        int from = 0;
        for (int to = 0; to < arrivalMillis.size(); to++) {
            while (arrivalMillis.get(to) - arrivalMillis.get(from) > WINDOW_MILLIS) {
                from++;
            }
            double ageMillis = Math.max(0, arrivalMillis.get(from));
            double capacityShare = Math.min(1, INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * ageMillis / WARM_UP_MILLIS);
            double allowed = FALL_MULTIPLE * capacityShare * capacityPerSecond * WINDOW_MILLIS / 1_000;
            assertThat((double) (to - from + 1))
                    .as(
                            "requests within %.0f ms up to %.0f ms after the start; the settings allow %.1f",
                            WINDOW_MILLIS, arrivalMillis.get(to), allowed)
                    .isLessThanOrEqualTo(allowed + 2 * Math.sqrt(allowed) + 2);
        }
        assertThat(arrivalMillis).as("requests to the new host").isNotEmpty();
    }
}
