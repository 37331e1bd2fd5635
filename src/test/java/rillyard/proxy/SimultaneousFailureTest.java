package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Many attempts that fail at the same instant, hedged ones among them. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class SimultaneousFailureTest {
    private static final int REQUESTS = 20;
    private static final int TIMEOUT_MILLIS = 15_000;
    private static final long AT_ONCE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The most retries and hedged requests that a proxy can have saved up. */
    private static final int RETRY_BUDGET = 10;

    private final List<TestPeer.Message> attempts = Collections.synchronizedList(new ArrayList<>());
    private final CountDownLatch failure = new CountDownLatch(1);

    /** Takes requests and resets their connections at the failure; what comes later is reset at once. */
    private ScriptedServer failingHost() throws IOException {
        return new ScriptedServer(peer -> {
            attempts.add(peer.read());
            failure.await();
            peer.reset();
        });
    }

    private void awaitAttempts(int count) throws InterruptedException {
        long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (attempts.size() < count) {
            assertThat(System.nanoTime()).as("%d attempts", attempts.size()).isLessThan(limit);
            Thread.sleep(1);
        }
    }

    private static String request(int number) {
        return number % 2 == 0
                ? ProxyFixture.get("read", TIMEOUT_MILLIS)
                : ProxyFixture.post("claim", TIMEOUT_MILLIS, "", "x");
    }

    private static List<TestPeer> sendRequests(ProxyFixture fixture) throws IOException {
        List<TestPeer> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            TestPeer client = fixture.client();
            client.write(request(i));
            clients.add(client);
        }
        return clients;
    }

    /** Reads the one response of each client, and sees by a health check behind it that there is no second one. */
    private static void assertAnsweredOnce(List<TestPeer> clients, int readStatus, int claimStatus) throws IOException {
        long failedAt = System.nanoTime();
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(clients.get(i).read().status()).isEqualTo(i % 2 == 0 ? readStatus : claimStatus);
        }
        assertThat(System.nanoTime() - failedAt).isLessThan(AT_ONCE_NANOS);
        for (TestPeer client : clients) {
            client.write("GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            assertThat(client.read().status()).isEqualTo(200);
            assertThat(client.read()).isNull();
            client.close();
        }
    }

    /** Reads are hedged 1.2 s after their start at the earliest, by when the spare host is listed and warm. */
    private static void useLateHedging(ObjectNode config) {
        ((ObjectNode) config.at("/settings/classes/0")).put("aim", 800).put("deadline", 1_600);
        ((ObjectNode) config.at("/settings/rules")).put("cold", 100);
    }

    @Test
    void resetOfAllAttemptsIsAnsweredOnceWithinRetryBudget() throws Exception {
        try (ScriptedServer hostA = failingHost();
                ScriptedServer hostB = failingHost();
                ScriptedServer spare = failingHost();
                ProxyFixture fixture = new ProxyFixture(
                        SimultaneousFailureTest::useLateHedging,
                        ProxyFixture.endpoint("a", hostA.port()),
                        ProxyFixture.endpoint("b", hostB.port()))) {
            List<TestPeer> clients = sendRequests(fixture);
            awaitAttempts(REQUESTS);
            fixture.announce(2, false, ProxyFixture.endpoint("c", spare.port())); // to which reads can be hedged
            awaitAttempts(REQUESTS + 1);
            awaitAttempts(REQUESTS + 2);
            failure.countDown();
            assertAnsweredOnce(clients, 503, 502); // a repeat of reads is harmless
            assertThat(attempts).hasSizeLessThanOrEqualTo(REQUESTS + RETRY_BUDGET);
            assertThat(attempts)
                    .filteredOn(attempt -> attempt.startLine().startsWith("POST"))
                    .hasSize(REQUESTS / 2);
        }
    }

    @Test
    void refusalOfAllConnectsIsAnsweredOnceWithinRetryBudget() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(
                true,
                null,
                config -> {},
                ProxyFixture.endpoint("a", ProxyFixture.freePort()),
                ProxyFixture.endpoint("b", ProxyFixture.freePort()),
                ProxyFixture.endpoint("c", ProxyFixture.freePort()))) {
            CountDownLatch unblock = fixture.blockLoop();
            List<TestPeer> clients = sendRequests(fixture);
            unblock.countDown();
            assertAnsweredOnce(clients, 503, 503);
            assertThat(fixture.log().lines().filter(line -> line.contains(" connect_failed ")))
                    .hasSizeBetween(REQUESTS, REQUESTS + RETRY_BUDGET);
        }
    }
}
