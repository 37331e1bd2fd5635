package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rillyard.childprocess.LaunchCommand;
import rillyard.childprocess.ProxyProcess;
import rillyard.childprocess.TestProcess;

/**
 * Pauses the built jar (SIGSTOP) again and again while requests arrive. Guards against requests that are lost because
 * timers, accepts or the drain count the time of a pause, in which the proxy could not read what had arrived.
 */
@Timeout(120)
class ProcessPauseIT {
    private static final LaunchCommand BUILT =
            LaunchCommand.platform(Path.of("").toAbsolutePath()).on("0");
    private static final int CLIENTS = 8;
    private static final int TIMEOUT_MILLIS = 1_500;

    /** New connections during a pause: more than an event loop accepts in one turn. */
    private static final int BURST = 40;

    /** Time past its timeout after which a response counts as missing, by the protocol. */
    private static final long RESPONSE_SLACK_MILLIS = 550;

    @TempDir
    Path folder;

    private ProxyProcess launch(ScriptedServer discovery, ScriptedServer... hosts) throws Exception {
        Path config = folder.resolve("config.json");
        String[] known = new String[hosts.length];
        for (int i = 0; i < hosts.length; i++) {
            known[i] = ProxyFixture.endpoint("h" + i, hosts[i].port());
        }
        Files.move(ProxyFixture.writeConfig(discovery.port(), json -> {}, known), config);
        ProxyProcess proxy = ProxyProcess.launch(BUILT, config, ProxyProcess.ANY_PORT, folder.resolve("log"));
        proxy.await(ProxyProcess.State.READY);
        return proxy;
    }

    /** An interval in which the process was paused. */
    private record Pause(long fromNanos, long toNanos) {}

    /** A request and its response; {@code isComplete} is false if the connection ended without a response. */
    private record Exchange(long sentNanos, long endedNanos, boolean isComplete) {
        /**
         * Returns whether the response is missing or later than the timeout and the slack. If the timeout ended
         * during a pause, the slack counts from the end of the pause, before which the proxy can't respond.
         */
        boolean isLost(List<Pause> pauses) {
            long dueNanos = sentNanos + TIMEOUT_MILLIS * 1_000_000L;
            for (Pause pause : pauses) {
                if (pause.fromNanos <= dueNanos && dueNanos <= pause.toNanos) {
                    dueNanos = pause.toNanos;
                }
            }
            return !isComplete || endedNanos > dueNanos + RESPONSE_SLACK_MILLIS * 1_000_000;
        }

        String describe(List<Pause> pauses, long startNanos) {
            return "sent " + (sentNanos - startNanos) / 1_000_000 + ", answered "
                    + (endedNanos - startNanos) / 1_000_000 + ", pauses "
                    + pauses.stream()
                            .map(pause -> (pause.fromNanos - startNanos) / 1_000_000 + "-"
                                    + (pause.toNanos - startNanos) / 1_000_000)
                            .toList();
        }
    }

    /** Sends one request after another on a persistent connection until {@code running} is 0. */
    private static void sendRequests(
            ProxyProcess proxy, Queue<Exchange> exchanges, AtomicLong latestSentNanos, AtomicInteger running)
            throws Exception {
        TestPeer peer = TestPeer.connect(proxy.address().getPort());
        try {
            while (running.get() > 0) {
                long sentNanos = System.nanoTime();
                latestSentNanos.set(sentNanos);
                peer.write(ProxyFixture.post("claim", TIMEOUT_MILLIS, "", "x"));
                TestPeer.Message message = peer.read();
                exchanges.add(new Exchange(sentNanos, System.nanoTime(), message != null));
                if (message == null || "close".equals(message.header("Connection"))) {
                    peer.close();
                    peer = TestPeer.connect(proxy.address().getPort());
                }
            }
        } finally {
            peer.close();
        }
    }

    /** The host doesn't respond to every third request, so that only the timeout ends it. */
    @ParameterizedTest
    @ValueSource(ints = {50, 150, 500, 1_000})
    void requestsAcrossPausesAreAnsweredOnceInTime(int pauseMillis) throws Exception {
        AtomicInteger count = new AtomicInteger();
        AtomicInteger running = new AtomicInteger(1);
        Queue<Exchange> exchanges = new ConcurrentLinkedQueue<>();
        List<Pause> pauses = new ArrayList<>();
        long startNanos = System.nanoTime();
        ExecutorService clients = Executors.newCachedThreadPool();
        try (ScriptedServer silent = new ScriptedServer(TestPeer::awaitEnd);
                ScriptedServer host = new ScriptedServer(peer -> {
                    TestPeer.Message message;
                    while ((message = peer.read()) != null) {
                        if (count.incrementAndGet() % 3 == 0) {
                            peer.awaitEnd(); // no response to this request
                            return;
                        }
                        peer.write(ScriptedServer.ok("served"));
                    }
                });
                ProxyProcess proxy = launch(silent, host)) {
            List<Future<?>> senders = new ArrayList<>();
            List<AtomicLong> latestSentNanos = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                AtomicLong sentNanos = new AtomicLong();
                latestSentNanos.add(sentNanos);
                senders.add(clients.submit(() -> {
                    sendRequests(proxy, exchanges, sentNanos, running);
                    return null;
                }));
            }
            for (int i = 0; i < 4; i++) {
                // Each client has a response since the previous pause and has sent a new request: two pauses during
                // one request would hide each other.
                long sinceNanos = pauses.isEmpty() ? startNanos : pauses.get(i - 1).toNanos;
                while (latestSentNanos.stream().anyMatch(sent -> sent.get() <= sinceNanos)) {
                    Thread.sleep(1);
                }
                long fromNanos = System.nanoTime();
                proxy.process().pause();
                Thread.sleep(pauseMillis); // the duration of the pause
                proxy.process().resume();
                pauses.add(new Pause(fromNanos, System.nanoTime()));
            }
            running.set(0);
            for (Future<?> sender : senders) {
                sender.get();
            }
        } finally {
            clients.shutdownNow();
        }
        assertThat(exchanges.stream()
                        .filter(exchange -> exchange.isLost(pauses))
                        .map(exchange -> exchange.describe(pauses, startNanos)))
                .isEmpty();
    }

    /** More new connections than an event loop accepts in one turn, and SIGHUP (a reload), arrive during a pause. */
    @Test
    void burstAndReloadDuringPauseAreServed() throws Exception {
        try (ScriptedServer silent = new ScriptedServer(TestPeer::awaitEnd);
                ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("served"));
                ProxyProcess proxy = launch(silent, host)) {
            for (int round = 0; round < 3; round++) {
                List<TestPeer> burst = new ArrayList<>();
                try {
                    proxy.process().pause();
                    TestProcess.signal(proxy.pid(), "HUP");
                    for (int i = 0; i < BURST; i++) {
                        TestPeer peer = TestPeer.connect(proxy.address().getPort());
                        peer.write(ProxyFixture.post("claim", TIMEOUT_MILLIS, "", "x"));
                        burst.add(peer);
                    }
                    Thread.sleep(300); // the duration of the pause
                    proxy.process().resume();
                    for (TestPeer client : burst) {
                        assertThat(client.read()).isNotNull();
                    }
                } finally {
                    for (TestPeer client : burst) {
                        client.close();
                    }
                }
            }
        }
    }

    /** After SIGTERM, new connections arrive during a pause that outlasts the time in which they are accepted. */
    @Test
    void drainAcrossPauseAnswersWaitingConnections() throws Exception {
        try (ScriptedServer silent = new ScriptedServer(TestPeer::awaitEnd);
                ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("served"));
                ProxyProcess proxy = launch(silent, host)) {
            List<TestPeer> waiting = new ArrayList<>();
            try (TestPeer kept = TestPeer.connect(proxy.address().getPort())) {
                kept.write(ProxyFixture.post("claim", TIMEOUT_MILLIS, "", "x"));
                assertThat(kept.read().text()).isEqualTo("served");
                proxy.process().terminate();
                while (!Files.readString(folder.resolve("log")).contains("draining")) {
                    Thread.sleep(1);
                }
                proxy.process().pause();
                for (int i = 0; i < BURST; i++) {
                    TestPeer peer = TestPeer.connect(proxy.address().getPort());
                    peer.write(ProxyFixture.post("claim", 2 * TIMEOUT_MILLIS, "", "x"));
                    waiting.add(peer);
                }
                Thread.sleep(1_000); // past the time for which new connections are accepted
                proxy.process().resume();
                for (TestPeer client : waiting) {
                    assertThat(client.read()).isNotNull();
                }
            } finally {
                for (TestPeer client : waiting) {
                    client.close();
                }
            }
            assertThat(proxy.process().await()).isZero();
        }
    }
}
