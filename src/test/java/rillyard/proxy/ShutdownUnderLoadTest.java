package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Shutdowns while clients go on sending: with hosts that hang until the end, and with hosts that drain themselves. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ShutdownUnderLoadTest {
    private static final int CLIENTS = 16;

    /** SIGKILL at the shortest time: 0.7 s after the longest deadline of the fixture's classes. */
    private static final long KILL_MILLIS = 1_200 + 700;

    /** How long after SIGTERM clients open connections. */
    private static final long CONNECT_MILLIS = 400;

    private static final int[] TIMEOUTS_MILLIS = {20, 300, 800, 15_000};
    private static final int MAX_PAUSE_MILLIS = 30;
    private static final int ANSWER_SLACK_MILLIS = 500;

    private final Set<String> forwarded = ConcurrentHashMap.newKeySet();
    private final Set<String> answered = ConcurrentHashMap.newKeySet();
    private final CountDownLatch never = new CountDownLatch(1);
    private volatile boolean hostsHang;
    private volatile long drainBeganAt;

    private long millisOfDrain() {
        return drainBeganAt == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - drainBeganAt);
    }

    private ScriptedServer hangingHost() throws IOException {
        return ScriptedServer.host(message -> {
            forwarded.add(message.header("X-Request-ID"));
            if (hostsHang) {
                never.await();
            }
            return ScriptedServer.ok("x");
        });
    }

    /** A client that sends on its connection until it ends or a response ends it, and connects anew while it may. */
    private void sendUntilKilled(ProxyFixture fixture, SplittableRandom random) throws Exception {
        while (millisOfDrain() < CONNECT_MILLIS) {
            try (TestPeer connection = fixture.client()) {
                boolean isOpen = true;
                while (isOpen && millisOfDrain() < KILL_MILLIS) {
                    Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
                    isOpen = sendOne(connection, random);
                }
            }
        }
    }

    /** Sends a request; returns whether the connection stays open. */
    private boolean sendOne(TestPeer connection, SplittableRandom random) throws IOException {
        int timeoutMillis = TIMEOUTS_MILLIS[random.nextInt(TIMEOUTS_MILLIS.length)];
        String request = random.nextBoolean()
                ? ProxyFixture.get("read", timeoutMillis)
                : ProxyFixture.post("claim", timeoutMillis, "", "x");
        long sentAt = System.nanoTime();
        connection.write(request);
        TestPeer.Message answer = connection.read(); // a reset fails the test
        if (answer == null) {
            return false; // crossed the end of the connection: must not have been forwarded
        }
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt))
                .isLessThanOrEqualTo(timeoutMillis + ANSWER_SLACK_MILLIS);
        answered.add(new TestPeer.Message(request, new byte[0]).header("X-Request-ID"));
        return !"close".equals(answer.header("Connection"));
    }

    @Test
    void allForwardedRequestsAreAnsweredBeforeEarliestKill() throws Exception {
        long seed = System.nanoTime();
        System.out.println("ShutdownUnderLoadTest: seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        ExecutorService threads = Executors.newFixedThreadPool(CLIENTS);
        try (ScriptedServer hostA = hangingHost();
                ScriptedServer hostB = hangingHost();
                ProxyFixture fixture = new ProxyFixture(
                        ProxyFixture.endpoint("a", hostA.port()), ProxyFixture.endpoint("b", hostB.port()))) {
            List<Future<?>> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                SplittableRandom own = random.split();
                clients.add(threads.submit(() -> {
                    sendUntilKilled(fixture, own);
                    return null;
                }));
            }
            while (forwarded.size() < 10 * CLIENTS) {
                Thread.sleep(1);
            }
            hostsHang = true;
            drainBeganAt = System.nanoTime();
            fixture.proxy.drain();
            fixture.proxy.awaitEnd();
            fixture.proxy.stop(); // as the process ends
            assertThat(millisOfDrain()).isLessThan(KILL_MILLIS);
            for (Future<?> client : clients) {
                client.get(10, TimeUnit.SECONDS);
            }
            assertThat(answered).containsAll(forwarded);
        } finally {
            never.countDown();
            threads.shutdownNow();
        }
    }

    /** Reads are hedged past the end of the test only, and the drain takes 3.55 s at most. */
    private static void useLateHedging(ObjectNode config) {
        ((ObjectNode) config.at("/settings/classes/0")).put("aim", 4_000).put("deadline", 8_000);
    }

    @Test
    void drainingHostGetsNothingAfterItsGraceThoughProxyShutsDown() throws Exception {
        CountDownLatch hostFails = new CountDownLatch(1);
        Set<String> attemptsAtLeaving = ConcurrentHashMap.newKeySet();
        ScriptedServer leaving = new ScriptedServer(peer -> {
            attemptsAtLeaving.add(peer.read().header("X-Request-ID"));
            hostFails.await();
            peer.reset();
        });
        try (leaving;
                ScriptedServer added = ScriptedServer.host(message -> ScriptedServer.ok("added"));
                ProxyFixture fixture = new ProxyFixture(
                        ShutdownUnderLoadTest::useLateHedging, ProxyFixture.endpoint("a", leaving.port()))) {
            List<TestPeer> clients = new ArrayList<>();
            int openRequests = 8;
            for (int i = 0; i < openRequests; i++) {
                TestPeer client = fixture.client();
                client.write(ProxyFixture.get("read", 8_000));
                clients.add(client);
            }
            while (attemptsAtLeaving.size() < openRequests) {
                Thread.sleep(1);
            }
            fixture.proxy.drain();
            fixture.announce(
                    2,
                    false,
                    ProxyFixture.endpoint("a", leaving.port(), 0, "draining"),
                    ProxyFixture.endpoint("b", added.port()));
            Thread.sleep(500); // the grace
            for (int i = 0; i < 3; i++) { // connections are accepted for 0.8 s
                TestPeer.Message answer = fixture.call(ProxyFixture.post("claim", 800, "", "x"));
                assertThat(answer.text()).isEqualTo("added");
            }
            hostFails.countDown();
            for (TestPeer client : clients) { // each is retried elsewhere
                TestPeer.Message answer = client.read();
                assertThat(answer.text()).isEqualTo("added");
                assertThat(answer.header("Connection")).isEqualTo("close");
                client.close();
            }
            fixture.proxy.awaitEnd();
            assertThat(attemptsAtLeaving).hasSize(openRequests);
        }
    }
}
