package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import rillyard.childprocess.ProxyProcess;

/**
 * Guards against clients that together make a process use more memory than is configured, by whichever way of using
 * little each. Runs the built jar.
 */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class MemoryLimitIT {
    /** What all clients of a crowd do. */
    private enum Crowd {
        /** Clients send a third of a long request and stop. */
        HALF_UPLOADS,
        /** Clients send a head with very many short fields, and stop. */
        MANY_FIELDS,
        /** Clients read nothing of a long response, which its host writes in small chunks. */
        UNREAD_SMALL_CHUNKS,
        /** Clients read nothing of a long response, which its host writes at once. */
        UNREAD_RESPONSES,
        /** Clients pipeline small requests behind one that is not answered. */
        PIPELINED,
        /** Clients pipeline a megabyte of requests behind one that is not answered. */
        PIPELINED_MUCH,
        /** Clients send bodies in small parts. */
        SLOW_WRITERS,
        /** Clients send complete requests of 60 kB, which no host answers. */
        COMPLETE_REQUESTS,
        /** Clients send health checks and read no response. */
        UNREAD_HEALTH_CHECKS,
        /** Every client takes the next one of these. */
        ALL
    }

    private static final int CLIENTS = 560;
    private static final int DESCRIPTORS = 1_024;
    private static final long STAY_MILLIS = 4_000;
    private static final byte[] SMALL_CHUNKS = "2\r\nab\r\n".repeat(20_000).getBytes(StandardCharsets.ISO_8859_1);
    private static final String LONG_REQUESTS = (post(50_000, "") + "x".repeat(50_000)).repeat(20);
    private static final int SLOW_PART_BYTES = 200;
    private static final byte[] PART = new byte[64 * 1024];

    @TempDir
    Path folder;

    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final List<TestPeer> clients = new ArrayList<>();
    private final CountDownLatch left = new CountDownLatch(1);
    private final List<ScriptedServer> hosts = new ArrayList<>();

    @BeforeEach
    void startHosts() throws Exception {
        for (int i = 0; i < 3; i++) {
            hosts.add(new ScriptedServer(this::serve));
        }
    }

    @AfterEach
    void stop() throws Exception {
        left.countDown();
        resetClients();
        executor.shutdownNow();
        for (ScriptedServer host : hosts) {
            host.close();
        }
    }

    private void resetClients() throws IOException {
        for (TestPeer client : clients) {
            client.reset();
        }
        clients.clear();
    }

    /** Serves a connection as the request's header says. */
    private void serve(TestPeer peer) throws Exception {
        while (true) {
            String head = peer.readHead();
            if (head == null) {
                return;
            }
            TestPeer.Message request = new TestPeer.Message(head, new byte[0]);
            String mode = request.header("X-Mode");
            if (mode == null) {
                peer.readExactly(Integer.parseInt(request.header("Content-Length")));
                peer.write(ScriptedServer.ok("served"));
            } else if (mode.equals("chunks")) {
                peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                writeUntilEnd(peer.socket.getOutputStream(), SMALL_CHUNKS);
            } else if (mode.equals("long")) {
                peer.write("HTTP/1.1 200 OK\r\nContent-Length: " + (32 << 20) + "\r\n\r\n");
                writeUntilEnd(peer.socket.getOutputStream(), PART);
            } else {
                left.await();
                return;
            }
        }
    }

    private static void writeUntilEnd(OutputStream out, byte[] part) throws IOException {
        for (int sent = 0; sent < 32 << 20; sent += part.length) {
            out.write(part);
        }
    }

    private String[] endpoints() {
        String[] endpoints = new String[hosts.size()];
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = ProxyFixture.endpoint("s" + i, hosts.get(i).port());
        }
        return endpoints;
    }

    private static String post(int length, String headers) {
        return ProxyFixture.head("POST", "claim", 3_000, headers) + "Content-Length: " + length + "\r\n\r\n";
    }

    /** Returns what one client sends. */
    private static String inputOf(Crowd crowd) {
        return switch (crowd) {
            case HALF_UPLOADS -> post(1_000_000, "X-Mode: hang\r\n") + "x".repeat(333_333);
            case MANY_FIELDS -> ProxyFixture.head("POST", "claim", 3_000, "a: b\r\n".repeat(2_600));
            case UNREAD_SMALL_CHUNKS -> post(0, "X-Mode: chunks\r\n");
            case UNREAD_RESPONSES -> post(0, "X-Mode: long\r\n");
            case PIPELINED -> post(0, "X-Mode: hang\r\n") + (post(100, "") + "x".repeat(100)).repeat(200);
            case PIPELINED_MUCH -> post(0, "X-Mode: hang\r\n") + LONG_REQUESTS;
            case SLOW_WRITERS -> post(60_000, "X-Mode: hang\r\n") + "x".repeat(60_000);
            case COMPLETE_REQUESTS -> post(60_000, "X-Mode: hang\r\n") + "x".repeat(60_000);
            case UNREAD_HEALTH_CHECKS -> "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n".repeat(30_000);
            case ALL -> throw new IllegalArgumentException("no single input");
        };
    }

    private static Crowd crowdOfClient(Crowd crowd, int client) {
        Crowd[] single = Crowd.values();
        return crowd == Crowd.ALL ? single[client % (single.length - 1)] : crowd;
    }

    private void connectCrowd(Crowd crowd, PlatformProxy proxy) throws Exception {
        for (int i = 0; i < CLIENTS; i++) {
            Crowd own = crowdOfClient(crowd, i);
            byte[] input = inputOf(own).getBytes(StandardCharsets.ISO_8859_1);
            TestPeer client = proxy.client();
            client.socket.setSoTimeout((int) STAY_MILLIS);
            clients.add(client);
            executor.submit(() -> {
                if (own == Crowd.SLOW_WRITERS) {
                    writeSlowly(client, input);
                } else {
                    client.write(input);
                }
                return null;
            });
        }
    }

    private static void writeSlowly(TestPeer client, byte[] input) throws Exception {
        for (int sent = 0; sent < input.length; sent += SLOW_PART_BYTES) {
            client.write(Arrays.copyOfRange(input, sent, Math.min(input.length, sent + SLOW_PART_BYTES)));
            Thread.sleep(10);
        }
    }

    private static int statusOfUsualRequest(PlatformProxy proxy) throws Exception {
        try (TestPeer client = proxy.client()) {
            client.write(ProxyFixture.post("claim", 800, "", "x"));
            TestPeer.Message response = client.read();
            return response == null ? 0 : response.status();
        } catch (IOException e) {
            return 0;
        }
    }

    private static void awaitServed(PlatformProxy proxy) throws Exception {
        int status = 0;
        for (int i = 0; i < 50 && status != 200; i++) {
            status = statusOfUsualRequest(proxy);
            Thread.sleep(100);
        }
        assertThat(status).as("a usual request after the crowd").isEqualTo(200);
    }

    private void assertWithinLimit(Crowd crowd, int memoryMb) throws Exception {
        try (PlatformProxy proxy =
                PlatformProxy.start(folder, PlatformProxy.limits(memoryMb, DESCRIPTORS), endpoints())) {
            connectCrowd(crowd, proxy);
            Thread.sleep(STAY_MILLIS);
            assertThat(proxy.process().process().isAlive()).as(proxy::logEnd).isTrue();
            System.out.println("crowd " + crowd + " memory_mb=" + memoryMb + " peak_mb=" + proxy.peakResidentMb());
            assertThat(proxy.peakResidentMb()).as("resident MiB").isLessThanOrEqualTo(memoryMb);
            resetClients();
            awaitServed(proxy);
        }
    }

    @ParameterizedTest
    @EnumSource(Crowd.class)
    void crowdOfClientsLeavesProcessWithinMemoryLimit(Crowd crowd) throws Exception {
        assertWithinLimit(crowd, 128);
    }

    @ParameterizedTest
    @CsvSource({"ALL, 96", "PIPELINED_MUCH, 96", "SLOW_WRITERS, 96"})
    void crowdOfClientsLeavesProcessWithinOtherMemoryLimits(Crowd crowd, int memoryMb) throws Exception {
        assertWithinLimit(crowd, memoryMb);
    }

    @Test
    void crowdOfClientsLeavesBothProcessesOfHotRestartWithinMemoryLimit() throws Exception {
        int memoryMb = 192;
        InetSocketAddress listen = ProxyProcess.freeAddress();
        try (PlatformProxy predecessor = PlatformProxy.startBeside(
                folder, "old", listen, PlatformProxy.limits(memoryMb, DESCRIPTORS), endpoints())) {
            connectCrowd(Crowd.ALL, predecessor);
            Thread.sleep(STAY_MILLIS / 2);
            try (PlatformProxy successor = PlatformProxy.startBeside(
                    folder, "new", listen, PlatformProxy.limits(memoryMb, DESCRIPTORS), endpoints())) {
                connectCrowd(Crowd.ALL, successor);
                long mostKb = 0;
                long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STAY_MILLIS);
                while (System.nanoTime() < endNanos) {
                    mostKb = Math.max(
                            mostKb,
                            predecessor.process().residentKb()
                                    + successor.process().residentKb());
                    Thread.sleep(5);
                }
                System.out.println("crowd, hot restart: memory_mb=" + memoryMb + " peak_mb=" + mostKb / 1024);
                assertThat(mostKb / 1024).as("resident MiB of both").isLessThanOrEqualTo(memoryMb);
            }
        }
    }
}
