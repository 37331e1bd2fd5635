package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that fail, or are sent twice, because hosts drop idle connections without notice. The next
 * request on such a connection is answered by a reset, and several hosts may have dropped theirs.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ForgottenConnectionTest {
    private static final int HOSTS = 2;
    private static final int TIMEOUT_MILLIS = 15_000;
    private static final long AT_ONCE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final BlockingQueue<String> attempts = new LinkedBlockingQueue<>();
    private final CountDownLatch firstRequests = new CountDownLatch(HOSTS);

    /** Creates a host that answers the first request of each connection, and resets the connection at the second. */
    private ScriptedServer droppingHost() throws IOException {
        return new ScriptedServer(peer -> {
            attempts.add(peer.read().header("X-Request-ID"));
            firstRequests.countDown();
            firstRequests.await();
            peer.write(ScriptedServer.ok("x"));
            attempts.add(peer.read().header("X-Request-ID"));
            peer.reset();
        });
    }

    /** Has the proxy open a connection to each of the hosts and keep it idle. */
    private void keepConnections(ProxyFixture fixture) throws Exception {
        List<TestPeer> clients = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            TestPeer client = fixture.client();
            client.write(ProxyFixture.post("claim", TIMEOUT_MILLIS, "", "x"));
            clients.add(client);
        }
        for (TestPeer client : clients) {
            assertThat(client.read().status()).isEqualTo(200);
            client.close();
        }
        attempts.clear();
        ProxyFixture.awaitReusableConnections();
    }

    private TestPeer.Message callOnDroppedConnections(String request) throws Exception {
        try (ScriptedServer hostA = droppingHost();
                ScriptedServer hostB = droppingHost();
                ProxyFixture fixture = new ProxyFixture(
                        ProxyFixture.endpoint("a", hostA.port()), ProxyFixture.endpoint("b", hostB.port()))) {
            keepConnections(fixture);
            long sentAtNanos = System.nanoTime();
            TestPeer.Message answer = fixture.call(request);
            assertThat(System.nanoTime() - sentAtNanos).isLessThan(AT_ONCE_NANOS);
            return answer;
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"read", "log"})
    void retryableRequestSucceedsThoughAllHostsDroppedConnections(String requestClass) throws Exception {
        String request = requestClass.equals("read")
                ? ProxyFixture.get(requestClass, TIMEOUT_MILLIS)
                : ProxyFixture.post(requestClass, TIMEOUT_MILLIS, "Idempotency-Key: k\r\n", "x");
        assertThat(callOnDroppedConnections(request).status())
                .as("after attempts %s", attempts)
                .isEqualTo(200);
    }

    @Test
    void requestThatMayRunOnceHasOneAttemptAndFailsAtOnce() throws Exception {
        TestPeer.Message answer = callOnDroppedConnections(ProxyFixture.post("claim", TIMEOUT_MILLIS, "", "x"));
        assertThat(answer.status()).isEqualTo(502);
        assertThat(attempts).hasSize(1);
    }
}
