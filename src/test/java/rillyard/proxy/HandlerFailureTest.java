package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rillyard.proxy.eventloop.FaultInjectingChannels;

/**
 * Guards against an exception in a channel handler that leaves a request without a response, an attempt open or the
 * periodic maintenance stopped. The client must get its final response at once, although the deadlines are 20 s.
 */
@Timeout(60)
class HandlerFailureTest {
    /** Longest time to a response that counts as sent at once. */
    private static final long AT_ONCE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final int LONG_BODY_BYTES = 300_000;

    private final FaultInjectingChannels channels = new FaultInjectingChannels();

    private static String claim() {
        return ProxyFixture.post("claim", 20_000, "", "visit=1");
    }

    private ProxyFixture fixture(ScriptedServer host) throws Exception {
        return new ProxyFixture(channels, ProxyFixture.endpoint("a", host.port()));
    }

    private static ScriptedServer answeringHost() throws IOException {
        return ScriptedServer.host(message -> ScriptedServer.ok("x"));
    }

    /** Creates a host that reads a request and sends nothing until its connection ends. */
    private static ScriptedServer silentHost(CountDownLatch received, CountDownLatch ended) throws IOException {
        return new ScriptedServer(peer -> {
            peer.read();
            received.countDown();
            peer.awaitEnd();
            ended.countDown();
        });
    }

    private static void assertFailsAtOnce(ProxyFixture fixture) throws IOException {
        try (TestPeer client = fixture.client()) {
            long sentAtNanos = System.nanoTime();
            client.write(claim());
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(System.nanoTime() - sentAtNanos).isLessThan(AT_ONCE_NANOS);
        }
        assertLogged(fixture);
    }

    private static void assertLogged(ProxyFixture fixture) {
        assertThat(fixture.log()).contains(FaultInjectingChannels.INJECTED);
    }

    private static void assertNoOpenRequest(ProxyFixture fixture) throws Exception {
        assertThat(fixture.proxy.loop().submit(fixture.proxy::openRequests).get())
                .isZero();
    }

    private static void assertServesNext(ProxyFixture fixture) throws Exception {
        assertThat(fixture.call(claim()).status()).isEqualTo(200);
        // Runs on the loop after the task that wrote the response's last byte and ended the request.
        String metrics =
                fixture.proxy.loop().submit(fixture.proxy.metrics()::text).get();
        assertThat(metrics).contains("pending:0|");
    }

    /** Adds a handler to the next accepted connection, between the codec and the proxy's own handler. */
    private void addToClientPipeline(ProxyFixture fixture, ChannelHandler handler) throws Exception {
        Channel channel = channels.nextAccepted();
        fixture.proxy
                .loop()
                .submit(() -> {
                    String encoder = channel.pipeline()
                            .context(HttpResponseEncoder.class)
                            .name();
                    channel.pipeline().addAfter(encoder, null, handler);
                })
                .get();
    }

    @Test
    void throwBeforeDispatchIsAnswered() throws Exception {
        try (ScriptedServer host = answeringHost();
                ProxyFixture fixture = fixture(host)) {
            channels.throwOnNextEndOfStreamCheck();
            assertFailsAtOnce(fixture);
            assertThat(host.requests).isEmpty();
            assertServesNext(fixture);
        }
    }

    @Test
    void throwOfHandlerAheadOfRequestIsAnswered() throws Exception {
        try (ScriptedServer host = answeringHost();
                ProxyFixture fixture = fixture(host);
                TestPeer client = fixture.client()) {
            addToClientPipeline(fixture, new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext ctx, Object message) {
                    ReferenceCountUtil.release(message);
                    throw new IllegalStateException(FaultInjectingChannels.INJECTED);
                }
            });
            client.write(claim());
            assertThat(client.read().status()).isEqualTo(502);
            client.awaitEnd();
            assertLogged(fixture);
            assertServesNext(fixture);
        }
    }

    @Test
    void throwWhileAttemptIsOpenIsAnsweredAndEndsAttempt() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        try (ScriptedServer host = silentHost(received, ended);
                ProxyFixture fixture = fixture(host);
                TestPeer client = fixture.client()) {
            Channel channel = channels.nextAccepted();
            client.write(claim());
            assertThat(received.await(10, TimeUnit.SECONDS)).isTrue();
            channel.pipeline().fireExceptionCaught(new IllegalStateException(FaultInjectingChannels.INJECTED));
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(ended.await(2, TimeUnit.SECONDS)).isTrue();
            client.awaitEnd();
            assertLogged(fixture);
        }
    }

    @Test
    void throwInWriteOfResponseIsAnswered() throws Exception {
        try (ScriptedServer host = answeringHost();
                ProxyFixture fixture = fixture(host)) {
            channels.throwOnNextWriteToClient(FullHttpResponse.class);
            assertFailsAtOnce(fixture);
            assertServesNext(fixture);
        }
    }

    @Test
    void responseThatHandlerRefusesIsReplaced() throws Exception {
        try (ScriptedServer host = answeringHost();
                ProxyFixture fixture = fixture(host);
                TestPeer client = fixture.client()) {
            addToClientPipeline(fixture, new ChannelOutboundHandlerAdapter() {
                @Override
                public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                    if (message instanceof FullHttpResponse response
                            && response.status().equals(HttpResponseStatus.OK)) {
                        response.release();
                        throw new IllegalStateException(FaultInjectingChannels.INJECTED);
                    }
                    ctx.write(message, promise);
                }
            });
            client.write(claim());
            assertThat(client.read().status()).isEqualTo(502);
            client.awaitEnd();
            assertLogged(fixture);
            assertServesNext(fixture);
        }
    }

    @Test
    void throwWithinForwardedResponseEndsBothConnections() throws Exception {
        assertThrowWithinResponseEndsBothConnections(
                "Content-Length: " + LONG_BODY_BYTES + "\r\n\r\n" + "x".repeat(LONG_BODY_BYTES / 2));
    }

    @Test
    void throwAsBufferedStartIsForwardedEndsBothConnections() throws Exception {
        assertThrowWithinResponseEndsBothConnections("Transfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(LONG_BODY_BYTES) + "\r\n" + "x".repeat(LONG_BODY_BYTES / 2));
    }

    private void assertThrowWithinResponseEndsBothConnections(String response) throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    try {
                        peer.read();
                        peer.write("HTTP/1.1 200 OK\r\n" + response);
                        peer.awaitEnd();
                    } finally {
                        ended.countDown(); // also if the connection ends while the response is being written
                    }
                });
                ProxyFixture fixture = fixture(host);
                TestPeer client = fixture.client()) {
            channels.throwOnNextWriteToClient(HttpContent.class);
            client.write(claim());
            assertThat(client.readHead()).startsWith("HTTP/1.1 200");
            client.awaitEnd();
            assertThat(ended.await(2, TimeUnit.SECONDS)).isTrue();
            assertLogged(fixture);
            assertNoOpenRequest(fixture);
        }
    }

    @Test
    void throwAtStartOfForwardedResponseIsAnswered() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x".repeat(LONG_BODY_BYTES)));
                ProxyFixture fixture = fixture(host)) {
            channels.throwOnNextWriteToClient(HttpObject.class);
            assertFailsAtOnce(fixture);
            assertServesNext(fixture);
        }
    }

    @Test
    void throwInWriteToHostIsAnswered() throws Exception {
        channels.throwOnNextWriteToHost("claim"); // on a new connection; requests of the watch do not match
        try (ScriptedServer host = answeringHost();
                ProxyFixture fixture = fixture(host)) {
            assertFailsAtOnce(fixture);
            assertServesNext(fixture);
            channels.throwOnNextWriteToHost("claim"); // on an idle connection
            assertFailsAtOnce(fixture);
            assertServesNext(fixture);
        }
    }

    @Test
    void throwInStallCheckIsAnswered() throws Exception {
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    peer.write("HTTP/1.1 200 OK\r\nContent-Le");
                    peer.awaitEnd();
                });
                ProxyFixture fixture = fixture(host)) {
            channels.throwOnNextCloseTo(host.port());
            assertFailsAtOnce(fixture);
        }
    }

    @Test
    void throwAtDeadlineIsAnswered() throws Exception {
        try (ScriptedServer host = silentHost(new CountDownLatch(1), new CountDownLatch(1));
                ProxyFixture fixture = fixture(host)) {
            channels.throwOnNextCloseTo(host.port());
            assertThat(fixture.call(ProxyFixture.post("claim", 300, "", "visit=1"))
                            .status())
                    .isEqualTo(504);
            assertNoOpenRequest(fixture); // runs on the loop after the task that threw, which was logged
            assertLogged(fixture);
        }
    }

    /** The pipelined request begins when the response before it is written, in the handler of a host's connection. */
    @Test
    void throwInPipelinedRequestIsAnsweredBehindResponseBeforeIt() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch reply = new CountDownLatch(1);
        try (ScriptedServer host = ScriptedServer.host(message -> {
                    received.countDown();
                    reply.await();
                    return ScriptedServer.ok("x");
                });
                ProxyFixture fixture = fixture(host);
                TestPeer client = fixture.client()) {
            client.write(claim());
            assertThat(received.await(10, TimeUnit.SECONDS)).isTrue();
            client.write(claim());
            Thread.sleep(100); // until the second request is read; without the wait the test would only check less
            channels.throwOnNextEndOfStreamCheck();
            reply.countDown();
            assertThat(client.read().status()).isEqualTo(200);
            assertThat(client.read().status()).isEqualTo(502);
            client.awaitEnd();
            assertLogged(fixture);
            assertServesNext(fixture);
        }
    }

    /** Guards against errors that end maintenance. Nothing else closes idle connections or replaces a silent watch. */
    @Test
    void maintenanceGoesOnAfterError() throws Exception {
        try (ScriptedServer host = answeringHost();
                ProxyFixture fixture = fixture(host);
                TestPeer client = fixture.client()) {
            client.write(claim());
            assertThat(client.read().status()).isEqualTo(200);
            channels.throwOnNextEndOfStreamCheck(new StackOverflowError(FaultInjectingChannels.INJECTED));
            client.awaitEnd(); // idle connections are closed after 2.1 s; the check before that has thrown
            assertLogged(fixture);
        }
    }

    @Test
    void drainEndsThoughStepOfItThrows() throws Exception {
        try (ScriptedServer host = answeringHost();
                ProxyFixture fixture = fixture(host);
                TestPeer client = fixture.client()) {
            client.write(claim());
            assertThat(client.read().status()).isEqualTo(200);
            channels.throwOnNextEndOfStreamCheck(); // the drain makes this check to close idle connections
            fixture.proxy.drain();
            CountDownLatch drained = new CountDownLatch(1);
            Thread waiter = new Thread(() -> {
                assertThat(fixture.proxy.awaitEnd()).isTrue();
                drained.countDown();
            });
            waiter.start();
            try {
                assertThat(drained.await(10, TimeUnit.SECONDS)).isTrue();
                assertThat(fixture.log()).contains("proxy: drain failed").contains("proxy: drained");
            } finally {
                waiter.interrupt();
            }
        }
    }

    /** An error outside of all handlers ends the event loop; who waits for the proxy's end must not wait for ever. */
    @Test
    void endOfEventLoopEndsProxy() throws Exception {
        FaultInjectingChannels channels = new FaultInjectingChannels();
        CountDownLatch failed = new CountDownLatch(1);
        try (ProxyFixture fixture = new ProxyFixture(channels)) {
            fixture.proxy.onLoopFailure(failed::countDown);
            channels.throwOnNextAccept(new InternalError(FaultInjectingChannels.INJECTED));
            TestPeer client = fixture.client();
            failed.await();
            assertThat(fixture.proxy.awaitEnd()).isFalse();
            client.close();
            fixture.proxy.drain(); // SIGTERM after that
            assertThat(fixture.proxy.awaitEnd()).isFalse();
        }
    }
}
