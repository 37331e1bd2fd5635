package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Load shedding as clients see it: what is rejected, and for how long. */
class LoadSheddingTest {
    private static String claim(int timeout) {
        return ProxyFixture.post("claim", timeout, "", "visit=1");
    }

    private static String responseWithReport(int requestsInFlight) {
        return "HTTP/1.1 200 OK\r\nX-Server-Load: rif=" + requestsInFlight + "\r\nContent-Length: 2\r\n\r\nok";
    }

    /**
     * Guards against a host that is left alone for good: what was sent to it and lost brought no newer
     * report, and must not count as its queue for ever.
     */
    @Test
    void rejectionsEndAfterTheirCause() throws Exception {
        AtomicInteger seen = new AtomicInteger();
        ScriptedServer.Reply reply = message -> {
            int count = seen.incrementAndGet();
            if (count == 1) {
                Thread.sleep(350); // one of a queue of six: each takes long
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
            long deadline = System.nanoTime() + 30_000_000_000L;
            int status = 0;
            while (status != 200 && System.nanoTime() < deadline) {
                status = fixture.call(claim(100)).status();
            }
            assertThat(status).isEqualTo(200);
        }
    }

    /**
     * Guards against retries whose aim is past taking the place of requests that can still be of use.
     */
    @Test
    void lateRequestsAreShedFirst() throws Exception {
        ScriptedServer.Reply slow = message -> {
            Thread.sleep(240); // six tenths of the aim
            return ScriptedServer.ok("ok");
        };
        try (ScriptedServer host = ScriptedServer.host(slow);
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            for (int i = 0; i < 16; i++) {
                fixture.call(claim(800));
            }
            int served = host.requests.size();
            for (int i = 0; i < 10; i++) {
                assertThat(fixture.call(claim(300)).status()).isEqualTo(503); // 500 ms of 800 are gone
            }
            assertThat(host.requests).hasSize(served);
            int status = 0;
            for (int i = 0; i < 200 && status != 200; i++) {
                status = fixture.call(claim(800)).status();
            }
            assertThat(status).isEqualTo(200);
        }
    }

    /** Clients that retry at once must not get through by chance. */
    @Test
    void simultaneousRetriesGetSameDecision() throws Exception {
        ScriptedServer.Reply slow = message -> {
            Thread.sleep(300); // about half are refused at three quarters of the aim
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
                mixedRounds += i >= 8 && answers.size() > 1 ? 1 : 0; // the first ones raise the pressure
            }
            assertThat(mixedRounds).isLessThan(8); // of 16; chance for each mixes nearly all
        } finally {
            for (TestPeer client : clients) {
                client.close();
            }
        }
    }
}
