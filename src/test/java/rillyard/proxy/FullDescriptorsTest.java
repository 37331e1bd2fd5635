package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against clients that are never accepted once connections take all descriptors: their requests got neither a
 * response nor a close, as only the end of another client's connection resumed the listener.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class FullDescriptorsTest {
    /** Descriptors of the configuration, of which the proxy uses 32 for connections. */
    private static final int DESCRIPTORS = 80;

    /** Clients that, with a connection to the host for each, use all descriptors. */
    private static final int BUSY_CLIENTS = 16;

    /** Time within which a client gets a response or a close; idle clients are closed later, after 2.1 s. */
    private static final int MAX_WAIT_MILLIS = 1_300;

    private final CountDownLatch released = new CountDownLatch(1);
    private final List<TestPeer> clients = new ArrayList<>();
    private ScriptedServer host;
    private ProxyFixture fixture;

    @BeforeEach
    void start() throws Exception {
        host = ScriptedServer.host(request -> {
            released.await();
            return ScriptedServer.ok("served");
        });
        fixture = new ProxyFixture(
                config -> ((ObjectNode) config.get("limits")).put("sockets", DESCRIPTORS),
                ProxyFixture.endpoint("a", host.port()));
    }

    @AfterEach
    void stop() throws Exception {
        released.countDown();
        for (TestPeer client : clients) {
            client.close();
        }
        fixture.close();
        host.close();
    }

    private TestPeer send(String request) throws Exception {
        TestPeer client = fixture.client();
        client.socket.setSoTimeout(MAX_WAIT_MILLIS);
        clients.add(client);
        client.write(request);
        return client;
    }

    /** Sends requests whose connections use all descriptors, and returns the clients, which wait for the host. */
    private List<TestPeer> useAllDescriptors() throws Exception {
        List<TestPeer> busy = new ArrayList<>();
        for (int i = 0; i < BUSY_CLIENTS; i++) {
            busy.add(send(ProxyFixture.get("read", 10_000)));
        }
        for (int i = 0; i < BUSY_CLIENTS; i++) {
            host.nextRequest();
        }
        return busy;
    }

    private static void awaitServed(List<TestPeer> waiting) throws Exception {
        for (TestPeer client : waiting) {
            assertThat(client.read().text()).isEqualTo("served");
        }
    }

    @Test
    void newClientsAreServedWhileIdleConnectionsTakeAllDescriptors() throws Exception {
        List<TestPeer> busy = useAllDescriptors();
        released.countDown();
        awaitServed(busy);
        for (int i = 0; i < BUSY_CLIENTS; i++) {
            awaitServed(List.of(send(ProxyFixture.get("read", 800))));
        }
    }

    @Test
    void waitingClientsAreServedOnceHostConnectionsBecomeIdle() throws Exception {
        List<TestPeer> busy = useAllDescriptors();
        List<TestPeer> waiting = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            waiting.add(send(ProxyFixture.get("read", 800)));
        }
        Thread.sleep(50); // the clients wait in the backlog
        released.countDown();
        awaitServed(busy);
        awaitServed(waiting);
    }

    /** The time for which a client has waited in the backlog counts against its timeout. */
    @Test
    void waitInBacklogIsDeductedFromTimeoutSentToHost() throws Exception {
        useAllDescriptors();
        TestPeer waiting = send(ProxyFixture.get("read", 10_000));
        Thread.sleep(150); // the client waits in the backlog
        released.countDown();
        awaitServed(List.of(waiting));
        assertThat(Integer.parseInt(host.nextRequest().header("X-Timeout-Ms"))).isBetween(1, 9_900);
    }

    @Test
    void waitingClientsAreClosedWhileDescriptorsStayInUse() throws Exception {
        List<TestPeer> busy = useAllDescriptors();
        for (int i = 0; i < 2; i++) { // later clients too
            TestPeer waiting = send(ProxyFixture.get("read", 800));
            assertThat(waiting.read()).isNull();
        }
        assertThat(fixture.log()).contains("listener: connections closed unread, reason=descriptors");
        released.countDown();
        awaitServed(busy);
        awaitServed(List.of(send(ProxyFixture.get("read", 800))));
    }

    /** Clients that stop within a body hold descriptors up to their timeout of 2.2 s. */
    @Test
    void clientBehindThoseThatStopWithinBodyGetsResponseOrClose() throws Exception {
        released.countDown();
        for (int i = 0; i < 60; i++) {
            send(ProxyFixture.head("POST", "claim", 800, "") + "Content-Length: 100\r\n\r\nbegin");
        }
        for (int i = 0; i < 3; i++) {
            TestPeer client = send(ProxyFixture.get("read", 800));
            TestPeer.Message response = client.read();
            assertThat(response == null ? 503 : response.status()).isIn(200, 503);
        }
    }
}
