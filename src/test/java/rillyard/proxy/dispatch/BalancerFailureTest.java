package rillyard.proxy.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rillyard.proxy.ScriptedServer;
import rillyard.proxy.resources.BufferedBody;

/**
 * Guards against requests that are never answered, and attempts that are never ended, because the balancer or a timer
 * throws while it handles an event of the request.
 */
@Timeout(30)
class BalancerFailureTest {
    private static final String EVENT_FAILED = "balancer: event failed";

    private final BlockingQueue<Integer> responseStatuses = new LinkedBlockingQueue<>();
    private final CountDownLatch attemptReceived = new CountDownLatch(1);
    private final CountDownLatch attemptEnded = new CountDownLatch(1);
    private ScriptedServer host;
    private DriverFixture fixture;
    private EventLoop loop;
    private BalancerDriver driver;

    private interface TimerStarter {
        void start(RequestExchange exchange, double delayMillis, Runnable action);
    }

    private final class StatusReceiver implements ResponseReceiver {
        @Override
        public void sendStatus(int status, double retryAfterMillis) {
            responseStatuses.add(status);
        }

        @Override
        public void failResponse() {
            responseStatuses.add(-1);
        }

        @Override
        public void sendResponse(HttpResponse response, BufferedBody body) {
            responseStatuses.add(response.status().code());
        }

        @Override
        public void beginResponse(HttpResponse response, long contentLength) {
            throw new UnsupportedOperationException();
        }

        @Override
        public boolean sendContent(ByteBuf content) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void flushContent() {}

        @Override
        public void endResponse() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void abortResponse() {
            throw new UnsupportedOperationException();
        }

        @Override
        public boolean isClientPresent() {
            return true;
        }

        @Override
        public void resumeRequestBody() {}
    }

    @BeforeEach
    void startDriver() throws Exception {
        host = new ScriptedServer(peer -> {
            peer.read();
            attemptReceived.countDown();
            peer.awaitEnd();
            attemptEnded.countDown();
        });
        fixture = new DriverFixture(host.port());
        loop = fixture.loop;
        driver = fixture.driver;
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        host.close();
    }

    private RequestExchange newExchange() {
        return fixture.newExchange(new StatusReceiver());
    }

    private void assertFailedAtOnce(String logLine) throws Exception {
        assertThat(responseStatuses.poll(2, TimeUnit.SECONDS)).isEqualTo(502);
        assertThat(loop.submit(() -> driver.openRequests()).get()).isZero();
        assertThat(driver.metrics().text()).contains("pending:0|");
        assertThat(fixture.log()).contains(logLine);
        assertThat(responseStatuses).isEmpty();
    }

    @Test
    void exceptionOnRequestIsAnswered() throws Exception {
        loop.submit(() -> driver.onRequest(newExchange(), null)).get(); // the balancer throws, as the request is null
        assertFailedAtOnce(EVENT_FAILED);
    }

    @Test
    void exceptionWhileAttemptIsOpenIsAnsweredAndEndsAttempt() throws Exception {
        RequestExchange exchange = loop.submit(this::newExchange).get();
        loop.submit(exchange::dispatch).get();
        assertThat(attemptReceived.await(10, TimeUnit.SECONDS)).isTrue();
        loop.submit(() -> driver.onAttemptEnded(exchange, null)).get(); // the balancer throws, as the result is null
        assertFailedAtOnce(EVENT_FAILED);
        assertThat(attemptEnded.await(2, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void errorIsAnswered() throws Exception {
        RequestExchange exchange = loop.submit(this::newExchange).get();
        loop.submit(exchange::dispatch).get();
        assertThat(attemptReceived.await(10, TimeUnit.SECONDS)).isTrue();
        BalancerEvents events = new BalancerEvents(fixture.log);
        loop.submit(() -> events.deliver(exchange, () -> {
                    throw new StackOverflowError("thrown by the test");
                }))
                .get();
        assertFailedAtOnce(EVENT_FAILED);
        assertThat(attemptEnded.await(2, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void errorInTimerOfRequestIsAnsweredAndEndsAttempt() throws Exception {
        assertTimerFailureIsAnswered(RequestExchange::schedule);
    }

    @Test
    void errorInTimerOfAttemptIsAnsweredAndEndsAttempt() throws Exception {
        assertTimerFailureIsAnswered(RequestExchange::scheduleForAttempt);
    }

    private void assertTimerFailureIsAnswered(TimerStarter starter) throws Exception {
        RequestExchange exchange = loop.submit(this::newExchange).get();
        loop.submit(exchange::dispatch).get();
        assertThat(attemptReceived.await(10, TimeUnit.SECONDS)).isTrue();
        loop.submit(() -> starter.start(exchange, 1, () -> {
                    throw new StackOverflowError("thrown by the test");
                }))
                .get();
        assertFailedAtOnce("request: timer failed");
        assertThat(attemptEnded.await(2, TimeUnit.SECONDS)).isTrue();
    }
}
