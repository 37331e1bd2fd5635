package rillyard.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import rillyard.proxy.ProxyFixture;
import rillyard.proxy.ScriptedServer;
import rillyard.proxy.TestPeer;

/**
 * Guards against proxies that fill the connection table of a host with idle connections after a burst, and against
 * requests that fail because a host at capacity, which looks idle, is tried again and again.
 */
class HostConnectionLimitTest {
    private static String claim() {
        return ProxyFixture.post("claim", 800, "", "visit=1");
    }

    /** If many proxies share the hosts, the connections that a burst opened are closed soon after it. */
    @Test
    void idleConnectionsOfBurstAreClosedSoonWhenManyProxiesShareHosts() throws Exception {
        CountDownLatch allArrived = new CountDownLatch(6);
        CountDownLatch ended = new CountDownLatch(5);
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    allArrived.countDown();
                    allArrived.await(); // so that each request has its own connection
                    peer.write(ScriptedServer.ok("x"));
                    peer.awaitEnd();
                    ended.countDown();
                });
                ProxyFixture proxy = new ProxyFixture(
                        config -> ((ObjectNode) config.path("settings")).put("balancers", 14),
                        ProxyFixture.endpoint("a", host.port()))) {
            List<TestPeer> clients = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                TestPeer client = proxy.client();
                client.write(ProxyFixture.post("claim", 20_000, "", "visit=1"));
                clients.add(client);
            }
            for (TestPeer client : clients) {
                assertThat(client.read().status()).isEqualTo(200);
                client.close();
            }
            assertThat(ended.await(10, TimeUnit.SECONDS)).isTrue(); // otherwise after 42 s
        }
    }

    /** A host at capacity is avoided at once, tried rarely, and used again once it accepts requests. */
    @Test
    void hostAtCapacityFailsNoRequestAndIsReusedOnceItHasCapacity() throws Exception {
        AtomicBoolean atCapacity = new AtomicBoolean(true);
        AtomicInteger rejections = new AtomicInteger();
        try (ScriptedServer limited = new ScriptedServer(peer -> {
                    while (peer.read() != null) {
                        if (atCapacity.get()) {
                            rejections.incrementAndGet();
                            peer.write(ScriptedServer.status(503, "X-Not-Processed: 1\r\nConnection: close\r\n"));
                            return;
                        }
                        peer.write(ScriptedServer.ok("limited"));
                    }
                });
                ScriptedServer unlimited = ScriptedServer.host(message -> {
                    Thread.sleep(20); // so that it is busier than the host at capacity
                    return ScriptedServer.ok("unlimited");
                });
                ProxyFixture proxy = new ProxyFixture(
                        ProxyFixture.endpoint("a", limited.port()), ProxyFixture.endpoint("b", unlimited.port()))) {
            for (int i = 0; i < 5; i++) {
                assertThat(callConcurrently(proxy, 8)).hasSize(8).containsOnly("unlimited");
            }
            // If it were not avoided, 39 of 40 requests would be sent to the host at capacity, which looks idle.
            assertThat(rejections.get()).isBetween(1, 20);
            atCapacity.set(false);
            List<String> responses = List.of();
            for (long endNanos = System.nanoTime() + 20_000_000_000L;
                    !responses.contains("limited") && System.nanoTime() < endNanos; ) {
                responses = callConcurrently(proxy, 8);
            }
            assertThat(responses).contains("limited");
        }
    }

    /** Sends {@code count} requests at once; returns the text of each response, or its status if it is not 200. */
    private static List<String> callConcurrently(ProxyFixture proxy, int count) throws Exception {
        List<TestPeer> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            TestPeer peer = proxy.client();
            peer.write(claim());
            clients.add(peer);
        }
        List<String> texts = new ArrayList<>();
        for (TestPeer testPeer : clients) {
            try (testPeer) {
                TestPeer.Message message = testPeer.read();
                texts.add(message.status() == 200 ? message.text() : "status " + message.status());
            }
        }
        return texts;
    }
}
