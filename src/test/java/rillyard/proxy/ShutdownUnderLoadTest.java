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

/**
 * Guards against a shutdown under load that leaves forwarded requests unanswered until the process is killed, because
 * hosts hang, or that still sends attempts to a host that is draining itself.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ShutdownUnderLoadTest {
    private static final int CLIENTS = 16;

    /** Earliest SIGKILL after SIGTERM: 0.7 s after the longest deadline of the fixture's classes. */
    private static final long KILL_MILLIS = 1_200 + 700;

    /** Time after SIGTERM for which clients open new connections. */
    private static final long CONNECTING_MILLIS = 400;

    private static final int[] TIMEOUTS_MILLIS = {20, 300, 800, 15_000};
    private static final int MAX_THINK_MILLIS = 30;
    private static final int RESPONSE_SLACK_MILLIS = 500;

    private final Set<String> forwarded = ConcurrentHashMap.newKeySet();
    private final Set<String> answered = ConcurrentHashMap.newKeySet();
    private final CountDownLatch end = new CountDownLatch(1);
    private volatile boolean hostsHang;
    private volatile long drainBeganAtNanos;

    private long millisSinceDrain() {
        return drainBeganAtNanos == 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - drainBeganAtNanos);
    }

    private ScriptedServer hangingHost() throws IOException {
        return ScriptedServer.host(message -> {
            forwarded.add(message.header("X-Request-ID"));
            if (hostsHang) {
                end.await();
            }
            return ScriptedServer.ok("x");
        });
    }

    /** Sends requests, and reconnects when the connection has ended, for as long as connects are allowed. */
    private void sendUntilKilled(ProxyFixture fixture, SplittableRandom random) throws Exception {
        while (millisSinceDrain() < CONNECTING_MILLIS) {
            try (TestPeer connection = fixture.client()) {
                boolean isOpen = true;
                while (isOpen && millisSinceDrain() < KILL_MILLIS) {
                    Thread.sleep(random.nextInt(MAX_THINK_MILLIS));
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
        long sentAtNanos = System.nanoTime();
        connection.write(request);
        TestPeer.Message answer = connection.read(); // a reset fails the test
        if (answer == null) {
            return false; // sent as the proxy closed the connection: must not have been forwarded
        }
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAtNanos))
                .isLessThanOrEqualTo(timeoutMillis + RESPONSE_SLACK_MILLIS);
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
                SplittableRandom clientRandom = random.split();
                clients.add(threads.submit(() -> {
                    sendUntilKilled(fixture, clientRandom);
                    return null;
                }));
            }
            while (forwarded.size() < 10 * CLIENTS) {
                Thread.sleep(1);
            }
            hostsHang = true;
            drainBeganAtNanos = System.nanoTime();
            fixture.proxy.drain();
            fixture.proxy.awaitEnd();
            fixture.proxy.stop(); // as at the end of the process
            assertThat(millisSinceDrain()).isLessThan(KILL_MILLIS);
            for (Future<?> client : clients) {
                client.get(10, TimeUnit.SECONDS);
            }
            assertThat(answered).containsAll(forwarded);
        } finally {
            end.countDown();
            threads.shutdownNow();
        }
    }

    /** Delays hedged requests of reads past the end of the test; the drain takes at most 3.55 s. */
    private static void useLateHedging(ObjectNode config) {
        ((ObjectNode) config.at("/settings/classes/0")).put("aim", 4_000).put("deadline", 8_000);
    }

    @Test
    void drainingHostGetsNoAttemptAfterDrainGraceThoughProxyShutsDown() throws Exception {
        CountDownLatch hostFails = new CountDownLatch(1);
        Set<String> attemptsAtDraining = ConcurrentHashMap.newKeySet();
        ScriptedServer draining = new ScriptedServer(peer -> {
            attemptsAtDraining.add(peer.read().header("X-Request-ID"));
            hostFails.await();
            peer.reset();
        });
        try (draining;
                ScriptedServer added = ScriptedServer.host(message -> ScriptedServer.ok("added"));
                ProxyFixture fixture = new ProxyFixture(
                        ShutdownUnderLoadTest::useLateHedging, ProxyFixture.endpoint("a", draining.port()))) {
            List<TestPeer> clients = new ArrayList<>();
            int openRequests = 8;
            for (int i = 0; i < openRequests; i++) {
                TestPeer client = fixture.client();
                client.write(ProxyFixture.get("read", 8_000));
                clients.add(client);
            }
            while (attemptsAtDraining.size() < openRequests) {
                Thread.sleep(1);
            }
            fixture.proxy.drain();
            fixture.announce(
                    2,
                    false,
                    ProxyFixture.endpoint("a", draining.port(), 0, "draining"),
                    ProxyFixture.endpoint("b", added.port()));
            Thread.sleep(500); // the drain grace
            for (int i = 0; i < 3; i++) { // the proxy accepts connections for 0.8 s
                TestPeer.Message answer = fixture.call(ProxyFixture.post("claim", 800, "", "x"));
                assertThat(answer.text()).isEqualTo("added");
            }
            hostFails.countDown();
            for (TestPeer client : clients) { // each request is retried at the other host
                TestPeer.Message answer = client.read();
                assertThat(answer.text()).isEqualTo("added");
                assertThat(answer.header("Connection")).isEqualTo("close");
                client.close();
            }
            fixture.proxy.awaitEnd();
            assertThat(attemptsAtDraining).hasSize(openRequests);
        }
    }
}
