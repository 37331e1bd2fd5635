package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rillyard.proxy.eventloop.FaultInjectingChannels;

/**
 * Guards requests that arrive while the memory for bodies is used up by requests that await their host's response. Such
 * a request waits for memory, for a limited time; a fault at the end of this wait would reject a later request on the
 * same connection or leave the client without a response.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class BodyMemoryTest {
    /** Size of a body; 128 of them take 8 MB, which is all the memory for bodies of a proxy with 64 MB. */
    private static final int FILLER_BYTES = 64 * 1024;

    private static final int FILLERS = 128;

    private final FaultInjectingChannels channels = new FaultInjectingChannels();
    private final CountDownLatch release = new CountDownLatch(1);
    private final List<TestPeer> fillers = new ArrayList<>();
    private ScriptedServer host;
    private ProxyFixture fixture;

    @BeforeEach
    void useAllMemory() throws Exception {
        host = ScriptedServer.host(message -> {
            if (message.body().length == FILLER_BYTES) {
                release.await();
            } else if (message.text().equals("slow")) {
                Thread.sleep(800); // longer than the longest wait for memory
            }
            return ScriptedServer.ok("x");
        });
        fixture = new ProxyFixture(
                channels,
                config -> ((ObjectNode) config.get("limits")).put("memory_mb", 64),
                ProxyFixture.endpoint("a", host.port()));
        String body = "x".repeat(FILLER_BYTES);
        for (int i = 0; i < FILLERS; i++) {
            TestPeer filler = fixture.client();
            fillers.add(filler);
            filler.write(ProxyFixture.post("claim", 600_000, "", body));
            assertThat(host.nextRequest()).isNotNull();
        }
    }

    @AfterEach
    void stop() throws Exception {
        release.countDown();
        for (TestPeer filler : fillers) {
            filler.close();
        }
        fixture.close();
        host.close();
    }

    /** Sends a text that the proxy receives in one read, so that each of its chunks asks for memory. */
    private void writeAtOnce(TestPeer peer, String text) throws Exception {
        CountDownLatch unblock = fixture.blockLoop();
        peer.write(text);
        Thread.sleep(20); // until the text is in the proxy's socket
        unblock.countDown();
        Thread.sleep(50); // until the proxy has read it
    }

    @Test
    void endedWaitForMemoryDoesNotRejectLaterRequest() throws Exception {
        try (TestPeer client = fixture.client()) {
            writeAtOnce(
                    client,
                    ProxyFixture.head("POST", "claim", 600_000, "")
                            + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n1\r\nc\r\n");
            release.countDown();
            client.write("0\r\n\r\n");
            assertThat(client.read()).isNotNull(); // 200, or 503 if the late responses cause shedding
            client.write(ProxyFixture.post("claim", 600_000, "", "slow"));
            assertThat(client.read()).isNotNull();
            Thread.sleep(500); // longer than any wait for memory, in case the response came at once
            assertThat(fixture.log()).doesNotContain("reason=body_memory");
        }
    }

    @Test
    void throwAtEndOfMemoryWaitIsAnswered() throws Exception {
        try (TestPeer client = fixture.client()) {
            client.write(
                    ProxyFixture.head("POST", "claim", 600_000, "") + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n");
            channels.throwOnNextWriteToClient(FullHttpResponse.class); // the rejection is that write
            assertThat(client.read().status()).isEqualTo(502);
            assertThat(client.read()).isNull();
            assertThat(fixture.log()).contains(FaultInjectingChannels.INJECTED);
        }
    }

    @Test
    void healthCheckWithBodyIsRejectedAndNotCounted() throws Exception {
        try (TestPeer client = fixture.client()) {
            client.write("POST /_health HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n");
            assertThat(client.read().status()).isEqualTo(503);
            assertThat(client.read()).isNull();
        }
    }
}
