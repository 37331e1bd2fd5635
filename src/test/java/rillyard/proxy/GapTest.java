package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A loop that stands still while requests come, and what it does first when it goes on. */
@Timeout(60)
class GapTest {
    private static final int TIME_MS = 300;

    /** Stands still for longer than a request's time. */
    private static void standStill(CountDownLatch open, long ms) throws InterruptedException {
        Thread.sleep(ms); // the gap itself
        open.countDown();
    }

    @Test
    void whatWaitedPastItsTimeIsRefusedAtOnceAndSentNowhere() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(r -> ScriptedServer.ok("served"));
                Rig rig = new Rig(Rig.server("a", host.port()));
                Peer kept = rig.client()) {
            kept.write(Rig.get("read", 1_000));
            assertThat(kept.read().text()).isEqualTo("served");
            host.request();
            CountDownLatch open = rig.blockLoop();
            kept.write(Rig.post("claim", TIME_MS, "", "x"));
            try (Peer fresh = rig.client()) { // waits unaccepted
                fresh.write(Rig.post("claim", TIME_MS, "", "x"));
                standStill(open, 2 * TIME_MS);
                assertThat(kept.read().status()).isEqualTo(503);
                assertThat(fresh.read().status()).isEqualTo(503);
            }
            assertThat(host.requests).isEmpty();
        }
    }

    @Test
    void whatIsLeftOfItsTimeIsAllThatAHostIsTold() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(r -> ScriptedServer.ok("served"));
                Rig rig = new Rig(Rig.server("a", host.port()));
                Peer c = rig.client()) {
            c.write(Rig.get("read", 1_000));
            c.read();
            host.request();
            CountDownLatch open = rig.blockLoop();
            c.write(Rig.get("read", 800));
            standStill(open, 400);
            assertThat(c.read().text()).isEqualTo("served");
            assertThat(Integer.parseInt(host.request().header("X-Timeout-Ms"))).isBetween(1, 400);
        }
    }

    @Test
    void whatIsPastItsTimeIsAnsweredAndTheHostNotBlamed() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedServer host = ScriptedServer.host(r -> {
                    answer.await();
                    return ScriptedServer.ok("served");
                });
                Rig rig = new Rig(true, null, c -> {}, Rig.server("a", host.port()));
                Peer c = rig.client()) {
            c.write(Rig.post("claim", TIME_MS, "", "x"));
            host.request();
            CountDownLatch open = rig.blockLoop();
            standStill(open, 2 * TIME_MS);
            assertThat(c.read().status()).isEqualTo(504);
            assertThat(rig.log()).contains("attempt a CANCELLED").doesNotContain("TIMEOUT");
            answer.countDown();
        }
    }

    @Test
    void aListThatCameMeanwhileIsReadBeforeARequestThatCameSooner() throws Exception {
        try (ScriptedServer a = ScriptedServer.host(r -> ScriptedServer.ok("a"));
                ScriptedServer b = ScriptedServer.host(r -> ScriptedServer.ok("b"));
                Rig rig = new Rig(Rig.server("a", a.port()));
                Peer c = rig.client()) {
            rig.tell(2, true, Rig.server("b", b.port()));
            String by;
            do { // until the watch is open and has been read
                c.write(Rig.get("read", 2_000));
                by = c.read().text();
            } while (!by.equals("b"));
            b.requests.clear();
            CountDownLatch open = rig.blockLoop();
            c.write(Rig.get("read", 2_000));
            rig.tell(3, true, Rig.server("a", a.port()), Rig.server("b", b.port(), 0, "draining"));
            standStill(open, TIME_MS);
            assertThat(c.read().text()).isEqualTo("a");
            assertThat(b.requests).isEmpty();
        }
    }
}
