package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against connections that stay open for ever when a client stops in the middle of a request: each must get an
 * error or be closed within 3 s, at whatever byte the client stops.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class StoppedClientTest {
    private static final long MAX_WAIT_MILLIS = 3_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private static String chunkedRequest(String bytes) {
        return ProxyFixture.head("POST", "claim", 600_000, "") + "Transfer-Encoding: chunked\r\n\r\n" + bytes;
    }

    private static String requestWithLength(String bytes) {
        return ProxyFixture.head("POST", "claim", 600_000, "") + "Content-Length: 200000\r\n\r\n" + bytes;
    }

    /** Returns the beginnings of requests that are sent, by the point at which they stop. */
    private static Map<String, String> truncatedRequests() {
        Map<String, String> requests = new LinkedHashMap<>();
        requests.put("first byte", "P");
        requests.put("request line", "POST /cla");
        requests.put("end of the request line", "POST /claim HTTP/1.1\r\n");
        requests.put("head", "POST /claim HTTP/1.1\r\nHost: a\r\nX-Req");
        requests.put("end of the head", ProxyFixture.head("POST", "claim", 800, "") + "Content-Length: 9\r\n\r");
        requests.put("before the body", requestWithLength(""));
        requests.put("body", requestWithLength("abc"));
        requests.put("chunk size", chunkedRequest("1"));
        requests.put("end of the chunk size", chunkedRequest("5\r\n"));
        requests.put("chunk data", chunkedRequest("5\r\nab"));
        requests.put("end of the chunk data", chunkedRequest("5\r\nabcde"));
        requests.put("trailer", chunkedRequest("5\r\nabcde\r\n0\r\n"));
        requests.put(
                "body that waits for 100",
                requestWithLength("").replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n"));
        requests.put("forwarded body", requestWithLength("x".repeat(150_000)));
        requests.put("forwarded chunk", chunkedRequest("30000\r\n" + "x".repeat(150_000)));
        return requests;
    }

    /** Returns the status of the next final response, or 0 if the connection ends without one. */
    private static int statusOrEnd(TestPeer client) throws Exception {
        TestPeer.Message message = client.read();
        while (message != null && message.status() == 100) {
            message = client.read();
        }
        return message == null ? 0 : message.status();
    }

    @Test
    void requestThatStopsAtAnyPointIsEndedInTime() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (ScriptedServer host = ScriptedServer.host(message -> {
                    never.await();
                    return "";
                });
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            Map<String, TestPeer> clients = new LinkedHashMap<>();
            for (Map.Entry<String, String> request : truncatedRequests().entrySet()) {
                TestPeer client = fixture.client();
                clients.put(request.getKey(), client);
                client.write(request.getValue());
            }
            long stoppedAtNanos = System.nanoTime();
            for (Map.Entry<String, TestPeer> client : clients.entrySet()) {
                assertThat(statusOrEnd(client.getValue())).as(client.getKey()).isIn(0, 408);
                assertThat((System.nanoTime() - stoppedAtNanos) / NANOS_PER_MILLI)
                        .as(client.getKey())
                        .isLessThan(MAX_WAIT_MILLIS);
                client.getValue().close();
            }
            assertThat(host.requests).isEmpty();
        }
    }

    @Test
    void requestThatStopsBehindLongResponseIsEndedInTimeAfterIt() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> {
                    Thread.sleep(3_500); // longer than any timeout for a silent client
                    return ScriptedServer.ok("first");
                });
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            Map<String, TestPeer> clients = new LinkedHashMap<>();
            for (Map.Entry<String, String> request : truncatedRequests().entrySet()) {
                TestPeer client = fixture.client();
                clients.put(request.getKey(), client);
                client.write(ProxyFixture.post("claim", 600_000, "", "first") + request.getValue());
            }
            for (Map.Entry<String, TestPeer> client : clients.entrySet()) {
                assertThat(client.getValue().read().text()).as(client.getKey()).isEqualTo("first");
            }
            long answeredAtNanos = System.nanoTime();
            for (Map.Entry<String, TestPeer> client : clients.entrySet()) {
                assertThat(statusOrEnd(client.getValue())).as(client.getKey()).isIn(0, 408, 503); // 503: shed
                assertThat((System.nanoTime() - answeredAtNanos) / NANOS_PER_MILLI)
                        .as(client.getKey())
                        .isLessThan(MAX_WAIT_MILLIS);
                client.getValue().close();
            }
        }
    }

    /** The request was answered before its end, and the rest of its body is malformed. */
    @Test
    void malformedRestAfterResponseEndsConnectionWithoutAnother() throws Exception {
        try (ProxyFixture fixture = new ProxyFixture(); // without a host
                TestPeer client = fixture.client()) {
            client.write(chunkedRequest("30000\r\n" + "x".repeat(150_000)));
            assertThat(client.read().status()).isEqualTo(503);
            client.write("x".repeat(0x30000 - 150_000) + "\r\nno size\r\n");
            assertThat(client.read()).as("end, neither a response nor a reset").isNull();
            client.write("more"); // is discarded; a reset would make the next write fail
            Thread.sleep(100);
            client.write("more");
        }
    }
}
