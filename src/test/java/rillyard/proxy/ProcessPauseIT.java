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

/** The built jar, which stands still (SIGSTOP) again and again while requests come. */
@Timeout(120)
class ProcessPauseIT {
    private static final LaunchCommand BUILT =
            LaunchCommand.platform(Path.of("").toAbsolutePath()).on("0");
    private static final int CLIENTS = 8;
    private static final int TIME_MS = 1_500;

    /** More than a loop accepts in one turn. */
    private static final int BURST = 40;

    /** The protocol's: a final answer may be late by so much (ms) before it counts as none. */
    private static final long SLACK_MS = 550;

    @TempDir
    Path folder;

    private ProxyProcess launch(ScriptedServer discovery, ScriptedServer... hosts) throws Exception {
        Path config = folder.resolve("config.json");
        String[] known = new String[hosts.length];
        for (int i = 0; i < hosts.length; i++) {
            known[i] = ProxyFixture.server("h" + i, hosts[i].port());
        }
        Files.move(ProxyFixture.config(discovery.port(), c -> {}, known), config);
        ProxyProcess proxy = ProxyProcess.launch(BUILT, config, ProxyProcess.freeAddress(), folder.resolve("log"));
        proxy.await(ProxyProcess.State.READY);
        return proxy;
    }

    /** A time (ns) in which the process stood still. */
    private record Gap(long from, long to) {}

    /** A request and when (ns) its answer came; none where the connection ended with no answer. */
    private record Asked(long sent, long answered, boolean whole) {
        /**
         * Whether it is lost: past its time and the slack. One whose time was up while the process stood still can
         * be answered no sooner than that goes on; the slack counts from there.
         */
        boolean lost(List<Gap> gaps) {
            long due = sent + TIME_MS * 1_000_000L;
            for (Gap gap : gaps) {
                if (gap.from <= due && due <= gap.to) {
                    due = gap.to;
                }
            }
            return !whole || answered > due + SLACK_MS * 1_000_000;
        }

        String told(List<Gap> gaps, long zero) {
            return "sent " + (sent - zero) / 1_000_000 + ", answered " + (answered - zero) / 1_000_000 + ", gaps "
                    + gaps.stream()
                            .map(gap -> (gap.from - zero) / 1_000_000 + "-" + (gap.to - zero) / 1_000_000)
                            .toList();
        }
    }

    /** One client, one request after another on a kept connection, until told to end. */
    private static void ask(ProxyProcess proxy, Queue<Asked> seen, AtomicLong latest, AtomicInteger on)
            throws Exception {
        TestPeer peer = TestPeer.connect(proxy.address().getPort());
        try {
            while (on.get() > 0) {
                long sent = System.nanoTime();
                latest.set(sent);
                peer.write(ProxyFixture.post("claim", TIME_MS, "", "x"));
                TestPeer.Message message = peer.read();
                seen.add(new Asked(sent, System.nanoTime(), message != null));
                if (message == null || "close".equals(message.header("Connection"))) {
                    peer.close();
                    peer = TestPeer.connect(proxy.address().getPort());
                }
            }
        } finally {
            peer.close();
        }
    }

    /** Every third request meets a host that hangs, so that nothing but its time ends it. */
    @ParameterizedTest
    @ValueSource(ints = {50, 150, 500, 1_000})
    void eachRequestGetsItsOneAnswerInTimeAcrossGaps(int gapMs) throws Exception {
        AtomicInteger count = new AtomicInteger();
        AtomicInteger on = new AtomicInteger(1);
        Queue<Asked> seen = new ConcurrentLinkedQueue<>();
        List<Gap> gaps = new ArrayList<>();
        long zero = System.nanoTime();
        ExecutorService clients = Executors.newCachedThreadPool();
        try (ScriptedServer silent = new ScriptedServer(TestPeer::awaitEnd);
                ScriptedServer host = new ScriptedServer(peer -> {
                    TestPeer.Message message;
                    while ((message = peer.read()) != null) {
                        if (count.incrementAndGet() % 3 == 0) {
                            peer.awaitEnd(); // hangs under this one
                            return;
                        }
                        peer.write(ScriptedServer.ok("served"));
                    }
                });
                ProxyProcess proxy = launch(silent, host)) {
            List<Future<?>> asking = new ArrayList<>();
            List<AtomicLong> latest = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                AtomicLong mine = new AtomicLong();
                latest.add(mine);
                asking.add(clients.submit(() -> {
                    ask(proxy, seen, mine, on);
                    return null;
                }));
            }
            for (int i = 0; i < 4; i++) {
                // What was asked in one gap has its answer before the next: two that meet one request would hide each
                // other.
                long since = gaps.isEmpty() ? zero : gaps.get(i - 1).to;
                while (latest.stream().anyMatch(sent -> sent.get() <= since)) {
                    Thread.sleep(1);
                }
                long from = System.nanoTime();
                proxy.process().pause();
                Thread.sleep(gapMs); // the gap itself
                proxy.process().resume();
                gaps.add(new Gap(from, System.nanoTime()));
            }
            on.set(0);
            for (Future<?> f : asking) {
                f.get();
            }
        } finally {
            clients.shutdownNow();
        }
        assertThat(seen.stream().filter(asked -> asked.lost(gaps)).map(a -> a.told(gaps, zero)))
                .isEmpty();
    }

    /** More new connections than a loop accepts in one turn, and a reload, come while it stands still. */
    @Test
    void aBurstAndAReloadInAGapAreServed() throws Exception {
        try (ScriptedServer silent = new ScriptedServer(TestPeer::awaitEnd);
                ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("served"));
                ProxyProcess proxy = launch(silent, host)) {
            for (int round = 0; round < 3; round++) {
                List<TestPeer> burst = new ArrayList<>();
                try {
                    proxy.process().pause();
                    proxy.process().signal("HUP");
                    for (int i = 0; i < BURST; i++) {
                        TestPeer peer = TestPeer.connect(proxy.address().getPort());
                        peer.write(ProxyFixture.post("claim", TIME_MS, "", "x"));
                        burst.add(peer);
                    }
                    Thread.sleep(300); // the gap itself
                    proxy.process().resume();
                    for (TestPeer testPeer : burst) {
                        assertThat(testPeer.read()).isNotNull();
                    }
                } finally {
                    for (TestPeer c : burst) {
                        c.close();
                    }
                }
            }
        }
    }

    /** SIGTERM and new connections come while it stands still, for longer than it would accept them. */
    @Test
    void aDrainThatBeginsInAGapAnswersWhatCameInIt() throws Exception {
        try (ScriptedServer silent = new ScriptedServer(TestPeer::awaitEnd);
                ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("served"));
                ProxyProcess proxy = launch(silent, host)) {
            List<TestPeer> waiting = new ArrayList<>();
            try (TestPeer kept = TestPeer.connect(proxy.address().getPort())) {
                kept.write(ProxyFixture.post("claim", TIME_MS, "", "x"));
                assertThat(kept.read().text()).isEqualTo("served");
                proxy.process().terminate();
                while (!Files.readString(folder.resolve("log")).contains("draining")) {
                    Thread.sleep(1);
                }
                proxy.process().pause();
                for (int i = 0; i < BURST; i++) {
                    TestPeer peer = TestPeer.connect(proxy.address().getPort());
                    peer.write(ProxyFixture.post("claim", 2 * TIME_MS, "", "x"));
                    waiting.add(peer);
                }
                Thread.sleep(1_000); // past the time for which new connections are accepted
                proxy.process().resume();
                for (TestPeer testPeer : waiting) {
                    assertThat(testPeer.read()).isNotNull();
                }
            } finally {
                for (TestPeer c : waiting) {
                    c.close();
                }
            }
            assertThat(proxy.process().await()).isZero();
        }
    }
}
