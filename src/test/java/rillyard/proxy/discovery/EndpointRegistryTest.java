package rillyard.proxy.discovery;

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

/** Hosts hold so many connections: what the proxy keeps of them, and what it does where there is none. */
class EndpointRegistryTest {
    private static String claim() {
        return ProxyFixture.post("claim", 800, "", "visit=1");
    }

    /** Where many proxies share the hosts' tables, what a burst needed is given back soon after it. */
    @Test
    void idleConnectionsOfABurstAreGivenBackWhereManyProxiesShareTheHosts() throws Exception {
        CountDownLatch all = new CountDownLatch(6);
        CountDownLatch ended = new CountDownLatch(5);
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    all.countDown();
                    all.await(); // so that each has a connection of its own
                    peer.write(ScriptedServer.ok("x"));
                    peer.awaitEnd();
                    ended.countDown();
                });
                ProxyFixture rig = new ProxyFixture(
                        config -> ((ObjectNode) config.path("settings")).put("balancers", 14),
                        ProxyFixture.server("a", host.port()))) {
            List<TestPeer> clients = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                TestPeer testPeer = rig.client();
                testPeer.write(ProxyFixture.post("claim", 20_000, "", "visit=1"));
                clients.add(testPeer);
            }
            for (TestPeer c : clients) {
                assertThat(c.read().status()).isEqualTo(200);
                c.close();
            }
            assertThat(ended.await(10, TimeUnit.SECONDS)).isTrue(); // of 42 s otherwise
        }
    }

    /** A host whose table is full is left for others at once, not knocked at all the time, and used again. */
    @Test
    void aFullHostCostsNoAnswerAndIsUsedAgainOnceItHasRoom() throws Exception {
        AtomicBoolean full = new AtomicBoolean(true);
        AtomicInteger knocked = new AtomicInteger();
        try (ScriptedServer tight = new ScriptedServer(peer -> {
                    while (peer.read() != null) {
                        if (full.get()) {
                            knocked.incrementAndGet();
                            peer.write(ScriptedServer.status(503, "X-Not-Processed: 1\r\nConnection: close\r\n"));
                            return;
                        }
                        peer.write(ScriptedServer.ok("tight"));
                    }
                });
                ScriptedServer roomy = ScriptedServer.host(message -> {
                    Thread.sleep(20); // its work: so that others find it busier than the full one
                    return ScriptedServer.ok("roomy");
                });
                ProxyFixture rig = new ProxyFixture(
                        ProxyFixture.server("a", tight.port()), ProxyFixture.server("b", roomy.port()))) {
            for (int i = 0; i < 5; i++) {
                assertThat(together(rig, 8)).hasSize(8).containsOnly("roomy");
            }
            // Of 40 each but the first would go to the one that looks idle; a refusal keeps it out for a while.
            assertThat(knocked.get()).isBetween(1, 20);
            full.set(false);
            List<String> from = List.of();
            for (long end = System.nanoTime() + 20_000_000_000L; !from.contains("tight") && System.nanoTime() < end; ) {
                from = together(rig, 8);
            }
            assertThat(from).contains("tight");
        }
    }

    /** What so many requests at once were served with. */
    private static List<String> together(ProxyFixture rig, int n) throws Exception {
        List<TestPeer> clients = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            TestPeer peer = rig.client();
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
