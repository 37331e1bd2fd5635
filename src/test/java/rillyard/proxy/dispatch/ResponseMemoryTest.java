package rillyard.proxy.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rillyard.proxy.ScriptedServer;
import rillyard.proxy.resources.BodyMemoryBudget;
import rillyard.proxy.resources.BufferedBody;

/**
 * Guards against a response of unknown length that is never read on: body memory runs out in the same read in which the
 * response gets too long to be buffered and is forwarded instead, so that nothing resumes the read.
 */
@Timeout(30)
class ResponseMemoryTest {
    private static final int FRAME_BYTES = 512;
    private static final int FRAMES = 160;

    private final CountDownLatch responseEnded = new CountDownLatch(1);
    private final AtomicInteger forwardedBytes = new AtomicInteger();

    private final class Client implements ResponseReceiver {
        @Override
        public void sendStatus(int status, double retryAfterMillis) {
            throw new AssertionError("status " + status);
        }

        @Override
        public void failResponse() {
            throw new AssertionError("failed");
        }

        @Override
        public void sendResponse(HttpResponse response, BufferedBody body) {
            throw new AssertionError("not forwarded");
        }

        @Override
        public void beginResponse(HttpResponse response, long contentLength) {}

        @Override
        public boolean sendContent(ByteBuf content) {
            forwardedBytes.addAndGet(content.readableBytes());
            content.release();
            return true;
        }

        @Override
        public void flushContent() {}

        @Override
        public void endResponse() {
            responseEnded.countDown();
        }

        @Override
        public void abortResponse() {
            throw new AssertionError("aborted");
        }

        @Override
        public boolean isClientPresent() {
            return true;
        }

        @Override
        public void resumeRequestBody() {}
    }

    private static String response() {
        String frame = Integer.toHexString(FRAME_BYTES) + "\r\n" + "x".repeat(FRAME_BYTES) + "\r\n";
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + frame.repeat(FRAMES) + "0\r\n\r\n";
    }

    /** Which size of free memory runs out in the read that starts the forwarding depends on the sizes of the reads. */
    @ParameterizedTest
    @ValueSource(ints = {24, 26, 28, 29, 30, 31, 32})
    void forwardedResponseIsReadOnThoughMemoryRanOut(int freeKilobytes) throws Exception {
        int usedBytes = DriverFixture.MEMORY_BYTES - freeKilobytes * 1024;
        try (ScriptedServer host = new ScriptedServer(peer -> {
                    peer.read();
                    peer.write(response());
                    peer.awaitEnd();
                });
                DriverFixture fixture = new DriverFixture(host.port())) {
            BodyMemoryBudget memory = fixture.driver.bodyMemory();
            fixture.loop.submit(() -> memory.charge(usedBytes, false)).get();
            fixture.loop
                    .submit(() -> fixture.newExchange(new Client()).dispatch())
                    .get();
            // A response that has not ended by then may wait for the release.
            boolean hasEndedBeforeRelease = responseEnded.await(200, TimeUnit.MILLISECONDS);
            fixture.loop.submit(() -> memory.release(usedBytes, false)).get();
            assertThat(responseEnded.await(5, TimeUnit.SECONDS))
                    .as("before the release: %s", hasEndedBeforeRelease)
                    .isTrue();
            assertThat(forwardedBytes).hasValue(FRAMES * FRAME_BYTES);
        }
    }
}
