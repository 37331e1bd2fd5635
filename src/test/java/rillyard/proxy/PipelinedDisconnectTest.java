package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Clients that send far ahead of their responses, and leave or stay. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class PipelinedDisconnectTest {
    /** More than the kernel's buffers of both sides would have to hold if the proxy read no further than 32 KiB. */
    private static final int AHEAD = 900 * 1024;

    private static String requestsAhead(int bytesEach) {
        StringBuilder ahead = new StringBuilder();
        while (ahead.length() < AHEAD - bytesEach - 500) {
            ahead.append(ProxyFixture.post("claim", 600_000, "", "x".repeat(bytesEach)));
        }
        return ahead.toString();
    }

    @ParameterizedTest
    @CsvSource({"100, false", "100, true", "40000, false", "40000, true"})
    void noAttemptBeginsForClientThatLeavesFarBehindItsRequests(int bytesEach, boolean reset) throws Exception {
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
            client.write(requestsAhead(bytesEach));
            long left = System.nanoTime();
            if (reset) {
                client.reset();
            } else {
                client.socket.close();
            }
            assertThat(attemptEnded.await(5, TimeUnit.SECONDS)).as("seen").isTrue();
            assertThat((System.nanoTime() - left) / 1_000_000).as("ms").isLessThan(100);
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
    void allRequestsFarAheadAreAnsweredInOrder(int bytesEach) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (ScriptedServer host = ScriptedServer.host(message -> {
                    release.await();
                    return ScriptedServer.ok(message.text().substring(0, 8));
                });
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()));
                TestPeer client = fixture.client()) {
            int count = 2 * AHEAD / (bytesEach + 300); // more than is held
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
            Thread.sleep(300); // the proxy reads as far ahead as it will
            release.countDown();
            for (int i = 0; i < count; i++) {
                assertThat(client.read().text()).isEqualTo(String.format("%08d", i));
            }
            writer.join();
        }
    }

    @Test
    void bytesFarAheadReturnToMemoryForBodies() throws Exception {
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
                                .put("memory_mb", 64), // leaves 8 MB
                        ProxyFixture.endpoint("a", host.port()))) {
            for (int i = 0; i < clients; i++) { // 11 MB in turn
                try (TestPeer client = fixture.client()) {
                    client.write(ProxyFixture.post("claim", 600_000, "", "first"));
                    client.write(requestsAhead(1_000));
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
