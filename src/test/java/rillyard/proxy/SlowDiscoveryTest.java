package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against lists that are applied later than 6 s after discovery fell silent, because discovery is also slow when
 * the watch is reopened: a connect or a response is late or lost.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class SlowDiscoveryTest {
    private static final String WATCH_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long PROPAGATION_MILLIS = 6_000;

    /** Serves one watch request of discovery; {@code call} is its number, from 0. */
    private interface CallScript {
        void serve(TestPeer peer, int call) throws Exception;
    }

    private static ScriptedServer discovery(CallScript script) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        return new ScriptedServer(peer -> {
            int call = calls.getAndIncrement();
            peer.read();
            script.serve(peer, call);
        });
    }

    private static Consumer<ObjectNode> discoveryAt(ScriptedServer discovery) {
        return config -> config.put("discovery", "127.0.0.1:" + discovery.port());
    }

    private static void writeLine(TestPeer peer, String line) throws Exception {
        peer.write(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }

    /** Sends requests until the list with the host has been applied; returns the time of the first success. */
    private static long awaitListApplied(ProxyFixture fixture) throws Exception {
        while (fixture.call(ProxyFixture.get("read", 500)).status() != 200) {
            Thread.sleep(10);
        }
        return System.nanoTime();
    }

    @Test
    void listIsAppliedInTimeThoughCallAfterSilenceIsLost() throws Exception {
        long[] silentSinceNanos = new long[1];
        CountDownLatch silent = new CountDownLatch(1);
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ScriptedServer discovery = discovery((peer, call) -> {
                    if (call == 0) {
                        peer.write(WATCH_HEAD);
                        writeLine(peer, "");
                        silentSinceNanos[0] = System.nanoTime();
                        silent.countDown();
                    } else if (call >= 2) {
                        Thread.sleep(1_000);
                        peer.write(WATCH_HEAD);
                        writeLine(peer, ProxyFixture.endpointList(2, true, ProxyFixture.endpoint("a", host.port())));
                    }
                    peer.awaitEnd();
                });
                ProxyFixture fixture = new ProxyFixture(discoveryAt(discovery))) {
            silent.await();
            assertThat((awaitListApplied(fixture) - silentSinceNanos[0]) / NANOS_PER_MILLI)
                    .isLessThan(PROPAGATION_MILLIS);
        }
    }

    /** The first connect after the silence stays pending, as the backlog is full, and each response takes 2 s. */
    @Test
    void listIsAppliedInTimeThoughConnectAndResponseAfterSilenceAreLate() throws Exception {
        ServerSocket discovery = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture =
                        new ProxyFixture(config -> config.put("discovery", "127.0.0.1:" + discovery.getLocalPort()));
                TestPeer watch = new TestPeer(discovery.accept())) {
            watch.read();
            watch.write(WATCH_HEAD);
            writeLine(watch, "");
            long silentSinceNanos = System.nanoTime();
            List<TestPeer> backlog = fillBacklog(discovery);
            while (!fixture.log().contains("watch: overdue") && !fixture.log().contains("watch: silent")) {
                Thread.sleep(1);
            }
            Thread.sleep(250); // by now the connect has been sent to the full backlog
            for (TestPeer peer : backlog) {
                discovery.accept().close();
                peer.close();
            }
            String list = ProxyFixture.endpointList(2, true, ProxyFixture.endpoint("a", host.port()));
            Thread server = new Thread(() -> respondLate(discovery, list));
            server.setDaemon(true);
            server.start();
            assertThat((awaitListApplied(fixture) - silentSinceNanos) / NANOS_PER_MILLI)
                    .as(fixture.log())
                    .isLessThan(PROPAGATION_MILLIS);
        } finally {
            discovery.close();
        }
    }

    private static List<TestPeer> fillBacklog(ServerSocket discovery) throws IOException {
        List<TestPeer> backlog = new ArrayList<>();
        for (int i = 0; i < 2; i++) { // the kernel queues one connection more than the backlog of 1
            backlog.add(TestPeer.connect(discovery.getLocalPort()));
        }
        return backlog;
    }

    private static void respondLate(ServerSocket discovery, String list) {
        try {
            while (true) {
                TestPeer peer = new TestPeer(discovery.accept());
                Thread answer = new Thread(() -> {
                    try (peer) {
                        peer.read();
                        Thread.sleep(2_000);
                        peer.write(WATCH_HEAD);
                        writeLine(peer, list);
                        peer.awaitEnd();
                    } catch (Exception e) {
                        // the proxy has closed the connection
                    }
                });
                answer.setDaemon(true);
                answer.start();
            }
        } catch (IOException e) {
            // the test has ended
        }
    }

    @Test
    void overdueWatchThatResumesEndsSecondConnection() throws Exception {
        CountDownLatch secondEnded = new CountDownLatch(1);
        List<Integer> calls = Collections.synchronizedList(new ArrayList<>());
        try (ScriptedServer discovery = discovery((peer, call) -> {
                    calls.add(call);
                    if (call > 0) {
                        peer.awaitEnd();
                        secondEnded.countDown();
                        return;
                    }
                    peer.write(WATCH_HEAD);
                    writeLine(peer, "");
                    while (calls.size() < 2) {
                        Thread.sleep(1);
                    }
                    while (true) { // while the second call is open, long enough for a third one to be due
                        writeLine(peer, "");
                        Thread.sleep(100);
                    }
                });
                ProxyFixture fixture = new ProxyFixture(discoveryAt(discovery))) {
            secondEnded.await();
            Thread.sleep(3_500);
            assertThat(calls).containsExactly(0, 1);
            assertThat(fixture.log()).doesNotContain("watch: silent");
        }
    }

    @Test
    void lostPollIsRepeatedWithoutBackoff() throws Exception {
        int failedPolls = 5; // by then a backoff would be at least 0.7 s
        long[] calledAtNanos = new long[failedPolls + 2];
        CountDownLatch repeated = new CountDownLatch(1);
        try (ScriptedServer discovery = discovery((peer, call) -> {
                    if (call < calledAtNanos.length) {
                        calledAtNanos[call] = System.nanoTime();
                    }
                    if (call >= failedPolls) {
                        if (call > failedPolls) {
                            repeated.countDown();
                        }
                        peer.awaitEnd();
                    }
                });
                ProxyFixture fixture = new ProxyFixture(config -> {
                    discoveryAt(discovery).accept(config);
                    ObjectNode settings = (ObjectNode) config.get("settings");
                    settings.put("membershipMode", "subscribe");
                })) {
            repeated.await();
            assertThat((calledAtNanos[failedPolls + 1] - calledAtNanos[failedPolls]) / NANOS_PER_MILLI)
                    .as(fixture.log())
                    .isBetween(2_300L, 2_900L);
        }
    }
}
