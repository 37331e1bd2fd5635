package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Guards against faults of load shedding that clients see: rejections that go on after the overload has ended, late
 * requests that are preferred to timely ones, and simultaneous retries of which some get through by chance.
 */
class LoadSheddingTest {
    private static String claim(int timeoutMillis) {
        return ProxyFixture.post("claim", timeoutMillis, "", "visit=1");
    }

    private static String responseWithReport(int requestsInFlight) {
        return "HTTP/1.1 200 OK\r\nX-Server-Load: rif=" + requestsInFlight + "\r\nContent-Length: 2\r\n\r\nok";
    }

    /**
     * Guards against a host that never gets requests again. Requests that it lost brought no newer load report than the
     * one with a long queue, and must not count as its queue indefinitely.
     */
    @Test
    void rejectionsEndAfterTheirCause() throws Exception {
        AtomicInteger seen = new AtomicInteger();
        ScriptedServer.Reply reply = message -> {
            int count = seen.incrementAndGet();
            if (count == 1) {
                Thread.sleep(350); // a slow response that reports a queue of six
                return responseWithReport(6);
            }
            if (count <= 9) {
                Thread.sleep(600_000); // no response
            }
            return responseWithReport(0);
        };
        try (ScriptedServer host = ScriptedServer.host(reply);
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            assertThat(fixture.call(claim(60_000)).status()).isEqualTo(200);
            long deadlineNanos = System.nanoTime() + 30_000_000_000L;
            int status = 0;
            while (status != 200 && System.nanoTime() < deadlineNanos) {
                status = fixture.call(claim(100)).status();
            }
            assertThat(status).isEqualTo(200);
        }
    }

    /** Guards against late retries, past their latency objective, that displace requests which can still meet it. */
    @Test
    void lateRequestsAreShedFirst() throws Exception {
        ScriptedServer.Reply slow = message -> {
            Thread.sleep(240); // 0.6 of the latency objective
            return ScriptedServer.ok("ok");
        };
        try (ScriptedServer host = ScriptedServer.host(slow);
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            for (int i = 0; i < 16; i++) {
                fixture.call(claim(800));
            }
            int served = host.requests.size();
            for (int i = 0; i < 10; i++) {
                assertThat(fixture.call(claim(300)).status())
                        .isEqualTo(503); // 500 of the deadline's 800 ms have passed
            }
            assertThat(host.requests).hasSize(served);
            int status = 0;
            for (int i = 0; i < 200 && status != 200; i++) {
                status = fixture.call(claim(800)).status();
            }
            assertThat(status).isEqualTo(200);
        }
    }

    /**
     * Guards against a random decision for each request, by which clients that retry at once get through by chance.
     */
    @Test
    void simultaneousRetriesGetSameDecision() throws Exception {
        ScriptedServer.Reply slow = message -> {
            Thread.sleep(300); // at 0.75 of the latency objective, about half of the requests are rejected
            return ScriptedServer.ok("ok");
        };
        List<TestPeer> clients = new ArrayList<>();
        try (ScriptedServer host = ScriptedServer.host(slow);
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            for (int i = 0; i < 8; i++) {
                clients.add(fixture.client());
            }
            int mixedRounds = 0;
            for (int i = 0; i < 24; i++) {
                for (TestPeer peer : clients) {
                    peer.write(claim(800));
                }
                Set<Integer> answers = new HashSet<>();
                for (TestPeer peer : clients) {
                    answers.add(peer.read().status());
                }
                mixedRounds += i >= 8 && answers.size() > 1 ? 1 : 0; // the first rounds raise the latency pressure
            }
            // Of 16 rounds; a random decision for each request would mix nearly all of them.
            assertThat(mixedRounds).isLessThan(8);
        } finally {
            for (TestPeer client : clients) {
                client.close();
            }
        }
    }
}
