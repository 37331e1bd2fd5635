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

/**
 * Guards against failures that many attempts have at the same instant, hedged ones among them: each could be retried
 * beyond the retry budget, or a request could be answered twice or not at all.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class SimultaneousFailureTest {
    private static final int REQUESTS = 20;
    private static final int TIMEOUT_MILLIS = 15_000;
    private static final long MAX_LATENCY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Maximum number of retries and hedged requests that the retry budget of a proxy can hold. */
    private static final int RETRY_BUDGET = 10;

    private final List<TestPeer.Message> attempts = Collections.synchronizedList(new ArrayList<>());
    private final CountDownLatch failure = new CountDownLatch(1);

    /** Starts a host that resets all connections when {@link #failure} opens, and later ones after their request. */
    private ScriptedServer failingHost() throws IOException {
        return new ScriptedServer(peer -> {
            attempts.add(peer.read());
            failure.await();
            peer.reset();
        });
    }

    private void awaitAttempts(int count) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (attempts.size() < count) {
            assertThat(System.nanoTime()).as("%d attempts", attempts.size()).isLessThan(deadlineNanos);
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

    /** Reads the response of each client, and then a health check's, to verify that there is no second response. */
    private static void assertAnsweredOnce(List<TestPeer> clients, int readStatus, int claimStatus) throws IOException {
        long failedAtNanos = System.nanoTime();
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(clients.get(i).read().status()).isEqualTo(i % 2 == 0 ? readStatus : claimStatus);
        }
        assertThat(System.nanoTime() - failedAtNanos).isLessThan(MAX_LATENCY_NANOS);
        for (TestPeer client : clients) {
            client.write("GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
            assertThat(client.read().status()).isEqualTo(200);
            assertThat(client.read()).isNull();
            client.close();
        }
    }

    /** Delays hedged requests of reads by at least 1.2 s; by then the spare host is listed and warm. */
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
            fixture.announce(2, false, ProxyFixture.endpoint("c", spare.port())); // for hedged requests
            awaitAttempts(REQUESTS + 1);
            awaitAttempts(REQUESTS + 2);
            failure.countDown();
            assertAnsweredOnce(clients, 503, 502); // reads get 503: they are idempotent, a retry is harmless
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
