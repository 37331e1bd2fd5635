package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.BindException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import rillyard.proxy.eventloop.FaultInjectingChannels;
import rillyard.proxy.eventloop.FaultInjectingChannels.Call;

/**
 * Guards against requests that are not answered in time, hosts that are ejected, or an event loop that spins, because
 * system calls of this machine (socket, connect, accept) fail for a while.
 */
class SystemCallFailureTest {
    private static IOException noBufferSpace() {
        return new SocketException("No buffer space available");
    }

    private static IOException tooManyFiles() {
        return new IOException("Too many open files in system");
    }

    private static String claim() {
        return ProxyFixture.post("claim", 20_000, "", "visit=1");
    }

    private static void awaitFailures(FaultInjectingChannels channels, Call call, int count)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (channels.failures(call) < count) {
            assertThat(System.nanoTime()).as("failures of " + call).isLessThan(deadlineNanos);
            Thread.sleep(5);
        }
    }

    @Test
    void requestWithoutSocketIsRejectedAtOnceAndNextOneServed() throws Exception {
        FaultInjectingChannels channels = new FaultInjectingChannels();
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture(channels, ProxyFixture.endpoint("a", host.port()))) {
            channels.fail(Call.SOCKET, 1, SystemCallFailureTest::noBufferSpace);
            long sentAtNanos = System.nanoTime();
            assertThat(fixture.call(claim()).status()).isEqualTo(503); // the request was not executed
            assertThat(System.nanoTime() - sentAtNanos).isLessThan(TimeUnit.SECONDS.toNanos(2)); // otherwise 20 s
            channels.stopFailures();
            assertThat(fixture.call(claim()).status()).isEqualTo(200);
            assertThat(fixture.log()).doesNotContain("event failed");
        }
    }

    @Test
    void requestIsRetriedAtAnotherHostIfOneSocketFails() throws Exception {
        FaultInjectingChannels channels = new FaultInjectingChannels();
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture(
                        channels, ProxyFixture.endpoint("a", host.port()), ProxyFixture.endpoint("b", host.port()))) {
            channels.fail(Call.SOCKET, 2, SystemCallFailureTest::noBufferSpace);
            assertThat(fixture.call(claim()).status()).isEqualTo(200);
            assertThat(channels.failures(Call.SOCKET)).isEqualTo(1);
        }
    }

    /** Failures that count against a host would eject it after the third. */
    @Test
    void localFailuresOfAllConnectsEjectNoHost() throws Exception {
        FaultInjectingChannels channels = new FaultInjectingChannels();
        List<Supplier<IOException>> localFailures = List.of(
                SystemCallFailureTest::noBufferSpace,
                () -> new BindException("Cannot assign requested address"),
                () -> new SocketException("Network is unreachable"));
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture(
                        channels, ProxyFixture.endpoint("a", host.port()), ProxyFixture.endpoint("b", host.port()))) {
            for (Supplier<IOException> failure : localFailures) {
                channels.fail(Call.CONNECT, 1, failure);
                for (int i = 0; i < 10; i++) {
                    assertThat(fixture.call(claim()).status()).isEqualTo(503);
                }
            }
            assertThat(channels.failures(Call.CONNECT)).isLessThanOrEqualTo(60); // at most one attempt per host
            channels.stopFailures();
            assertThat(fixture.call(claim()).status()).isEqualTo(200);
            assertThat(fixture.log()).doesNotContain("host ejected").contains("upstream: local failure, count=1");
        }
    }

    /** Netty's own acceptor would pause for a second after each failure, and log its stack trace. */
    @Test
    void failedAcceptsDelayClientsByMillisecondsOnly() throws Exception {
        FaultInjectingChannels channels = new FaultInjectingChannels();
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture(channels, ProxyFixture.endpoint("a", host.port()))) {
            channels.fail(Call.ACCEPT, 2, SystemCallFailureTest::tooManyFiles);
            long startedAtNanos = System.nanoTime();
            for (int i = 0; i < 20; i++) {
                assertThat(fixture.call(claim()).status()).isEqualTo(200);
            }
            assertThat(System.nanoTime() - startedAtNanos).isLessThan(TimeUnit.SECONDS.toNanos(5)); // otherwise 20 s
            assertThat(channels.failures(Call.ACCEPT)).isGreaterThan(10);
            assertThat(fixture.log())
                    .containsOnlyOnce("listener: accept failed, count=1 ")
                    .doesNotContain("\tat ");
        }
    }

    @Test
    void lastingFailureOfAcceptsDoesNotSpin() throws Exception {
        FaultInjectingChannels channels = new FaultInjectingChannels();
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture(channels, ProxyFixture.endpoint("a", host.port()))) {
            channels.fail(Call.ACCEPT, 1, SystemCallFailureTest::tooManyFiles);
            try (TestPeer client = fixture.client()) {
                client.write(claim());
                Thread.sleep(500);
                assertThat(channels.failures(Call.ACCEPT)).isBetween(2, 101); // one every 5 ms
                channels.stopFailures();
                assertThat(client.read().status()).isEqualTo(200);
            }
        }
    }

    /** Closing a server channel resets the connections of its backlog. */
    @Test
    void backlogIsAcceptedBeforeCloseThoughAcceptsFail() throws Exception {
        FaultInjectingChannels channels = new FaultInjectingChannels();
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture(channels, ProxyFixture.endpoint("a", host.port()))) {
            CountDownLatch unblock = fixture.blockLoop();
            List<TestPeer> clients = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                TestPeer client = fixture.client();
                client.write(claim());
                clients.add(client);
            }
            channels.fail(Call.ACCEPT, 2, SystemCallFailureTest::tooManyFiles);
            fixture.proxy.loop().execute(() -> fixture.proxy.listener().closeServerChannel());
            unblock.countDown();
            for (TestPeer client : clients) {
                assertThat(client.read().status()).isEqualTo(200);
                client.close();
            }
            assertThat(channels.failures(Call.ACCEPT)).isGreaterThanOrEqualTo(3);
        }
    }

    /** Waits until the announced list has been applied. */
    private static void awaitReady(ProxyFixture fixture) throws Exception {
        while (!fixture.proxy
                .loop()
                .submit(() -> fixture.proxy.listener().wasRecentlyReady())
                .get()) {
            Thread.sleep(10);
        }
    }

    /** Limits each read to 5 bytes and each write to 7, for connections of clients, to hosts and to discovery. */
    @Test
    void shortReadsAndWritesChangeNothing() throws Exception {
        FaultInjectingChannels channels = new FaultInjectingChannels();
        channels.limitTransfers(5, 7);
        String body = "0123456789".repeat(300);
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok(message.text() + "!"));
                ProxyFixture fixture = new ProxyFixture(channels);
                TestPeer client = fixture.client()) {
            fixture.announce(2, true, ProxyFixture.endpoint("a", host.port()));
            awaitReady(fixture);
            for (int i = 0; i < 10; i++) {
                client.write(ProxyFixture.post("claim", 20_000, "", body));
                TestPeer.Message answer = client.read();
                assertThat(answer.status()).isEqualTo(200);
                assertThat(answer.text()).isEqualTo(body + "!");
            }
        }
    }

    @Test
    void failureOfEveryThirdConnectFailsNoRequest() throws Exception {
        FaultInjectingChannels channels = new FaultInjectingChannels();
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    peer.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx");
                });
                ProxyFixture fixture = new ProxyFixture(
                        channels,
                        ProxyFixture.endpoint("a", host.port()),
                        ProxyFixture.endpoint("b", host.port()),
                        ProxyFixture.endpoint("c", host.port()))) {
            channels.fail(Call.CONNECT, 3, () -> new BindException("Cannot assign requested address"));
            for (int i = 0; i < 30; i++) {
                assertThat(fixture.call(claim()).status()).isEqualTo(200);
            }
            assertThat(channels.failures(Call.CONNECT)).isGreaterThan(10);
        }
    }

    @Test
    void watchWithoutSocketIsReopened() throws Exception {
        FaultInjectingChannels channels = new FaultInjectingChannels();
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture(channels)) {
            assertThat(fixture.watchRequests.poll(10, TimeUnit.SECONDS)).isNotNull();
            channels.fail(Call.SOCKET, 1, SystemCallFailureTest::noBufferSpace);
            fixture.discoveryLines.add(""); // ends the watch
            awaitFailures(channels, Call.SOCKET, 2);
            channels.stopFailures();
            assertThat(fixture.watchRequests.poll(10, TimeUnit.SECONDS)).isNotNull();
            fixture.announce(2, true, ProxyFixture.endpoint("a", host.port()));
            awaitReady(fixture);
            assertThat(fixture.call(claim()).status()).isEqualTo(200);
        }
    }
}
