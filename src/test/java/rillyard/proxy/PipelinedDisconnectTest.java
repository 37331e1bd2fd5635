package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a proxy that reads too little of what a client pipelines: a close behind 900 KiB of requests is then
 * not noticed, and attempts run for a client that has disconnected. The bytes that are read ahead must also be released
 * and parsed in order.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class PipelinedDisconnectTest {
    /** Pipelined bytes of a client; the kernel's buffers could not hold them if the proxy stopped reading at 32 KiB. */
    private static final int PIPELINED_BYTES = 900 * 1024;

    private static String pipelinedRequests(int bytesEach) {
        StringBuilder requests = new StringBuilder();
        while (requests.length() < PIPELINED_BYTES - bytesEach - 500) {
            requests.append(ProxyFixture.post("claim", 600_000, "", "x".repeat(bytesEach)));
        }
        return requests.toString();
    }

    @ParameterizedTest
    @CsvSource({"100, false", "100, true", "40000, false", "40000, true"})
    void pipelinedRequestsOfDisconnectedClientStartNoAttempt(int bytesEach, boolean reset) throws Exception {
        CountDownLatch attemptEnded = new CountDownLatch(1);
        ScriptedServer host = new ScriptedServer(peer -> {
            peer.read();
            peer.awaitEnd();
            attemptEnded.countDown();
        });
        try (host;
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            client.write(ProxyFixture.post("claim", 600_000, "", "first"));
            host.nextConnection();
            client.write(pipelinedRequests(bytesEach));
            long disconnectedAtNanos = System.nanoTime();
            if (reset) {
                client.reset();
            } else {
                client.socket.close();
            }
            assertThat(attemptEnded.await(5, TimeUnit.SECONDS))
                    .as("attempt ended")
                    .isTrue();
            assertThat((System.nanoTime() - disconnectedAtNanos) / 1_000_000)
                    .as("ms")
                    .isLessThan(100);
            assertThat(fixture.proxy
                            .loop()
                            .submit(() -> fixture.proxy.openRequests())
                            .get())
                    .isZero();
            assertThat(host.hasMoreConnections()).isFalse();
        }
    }

    @ParameterizedTest
    @CsvSource({"100", "5000", "40000", "150000"})
    void manyPipelinedRequestsAreAnsweredInOrder(int bytesEach) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedServer host = ScriptedServer.host(message -> {
                    release.await();
                    return ScriptedServer.ok(message.text().substring(0, 8));
                });
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            int count = 2 * PIPELINED_BYTES / (bytesEach + 300); // more than the proxy buffers
            Thread writer = new Thread(() -> {
                try {
                    for (int i = 0; i < count; i++) {
                        client.write(ProxyFixture.post(
                                "claim", 600_000, "", String.format("%08d", i) + "x".repeat(bytesEach)));
                    }
                } catch (java.io.IOException e) {
                    // the reads below fail
                }
            });
            writer.start();
            host.nextRequest();
            Thread.sleep(300); // the proxy buffers as much as it can meanwhile
            release.countDown();
            for (int i = 0; i < count; i++) {
                assertThat(client.read().text()).as(fixture::log).isEqualTo(String.format("%08d", i));
            }
            writer.join();
        }
    }

    @Test
    void pipelinedBytesOfDisconnectedClientsReleaseBodyMemory() throws Exception {
        int clients = 12;
        Semaphore received = new Semaphore(0);
        CountDownLatch ended = new CountDownLatch(clients);
        ScriptedServer host = new ScriptedServer(peer -> {
            TestPeer.Message message;
            while ((message = peer.read()) != null) {
                if (message.text().equals("first")) {
                    received.release();
                    peer.awaitEnd();
                    ended.countDown();
                    return;
                }
                peer.write(ScriptedServer.ok("served"));
            }
        });
        try (host;
                ProxyFixture fixture = new ProxyFixture(
                        config -> ((com.fasterxml.jackson.databind.node.ObjectNode) config.get("limits"))
                                .put("memory_mb", 64), // leaves 8 MB for bodies
                        ProxyFixture.endpoint("a", host.port()))) {
            for (int i = 0; i < clients; i++) { // 11 MB in total, one client after another
                try (TestPeer client = fixture.client()) {
                    client.write(ProxyFixture.post("claim", 600_000, "", "first"));
                    client.write(pipelinedRequests(1_000));
                    assertThat(received.tryAcquire(10, TimeUnit.SECONDS))
                            .as("attempt %d", i)
                            .isTrue();
                }
            }
            assertThat(ended.await(10, TimeUnit.SECONDS))
                    .as("all attempts ended")
                    .isTrue();
            for (int i = 0; i < 5; i++) {
                String body = "x".repeat(60_000);
                assertThat(fixture.call(ProxyFixture.post("claim", 800, "", body))
                                .text())
                        .isEqualTo("served");
            }
            assertThat(fixture.log()).doesNotContain("body_memory");
        }
    }
}
