package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import rillyard.trace.TraceEvent;
import rillyard.trace.TraceEvent.Kind;

/** What a proxy writes down of itself where that is asked for. */
class ProxyTraceTest {
    private static List<TraceEvent> lines(ProxyFixture rig) {
        return rig.log().lines().map(TraceEvent::parse).filter(Objects::nonNull).toList();
    }

    /** A cold host that can do all of its work: it is told as cold, and lent without a wait. */
    private static void ableFromTheStart(ObjectNode config) {
        ((ObjectNode) config.path("settings").path("rules")).put("startCapacity", 1);
    }

    @Test
    void connectionsAttemptsAndRefusalsAreToldWithTheirHostsAndResults() throws Exception {
        String fresh = ProxyFixture.server("a", 0)
                .replace("\"started_ms\":0", "\"started_ms\":" + (System.currentTimeMillis() - 5_000));
        try (ScriptedServer full = new ScriptedServer(peer -> {
                    peer.read();
                    peer.write(ScriptedServer.status(503, "X-Not-Processed: 1\r\nConnection: close\r\n"));
                });
                ProxyFixture rig = new ProxyFixture(
                        true,
                        null,
                        ProxyTraceTest::ableFromTheStart,
                        fresh.replace("127.0.0.1:0", "127.0.0.1:" + full.port()))) {
            assertThat(rig.call(ProxyFixture.post("claim", 800, "", "x")).status())
                    .isEqualTo(503);
            List<TraceEvent> told = lines(rig);
            assertThat(told)
                    .extracting(TraceEvent::kind)
                    .startsWith(Kind.STARTED)
                    .contains(Kind.LIST, Kind.CONNECTED, Kind.ATTEMPT, Kind.REFUSED);
            assertThat(told)
                    .filteredOn(event -> event.kind() == Kind.ATTEMPT)
                    .isNotEmpty()
                    .allMatch(traceEvent -> traceEvent.host().equals("a")
                            && traceEvent.detail().equals("FULL")
                            && traceEvent.warmingUp());
            assertThat(told)
                    .filteredOn(t -> t.kind() == Kind.REFUSED)
                    .extracting(TraceEvent::detail)
                    .containsExactly("FULL");
        }
    }

    @Test
    void withoutBeingAskedNothingIsWritten() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture rig = new ProxyFixture(ProxyFixture.server("a", host.port()))) {
            assertThat(rig.call(ProxyFixture.post("claim", 800, "", "x")).status())
                    .isEqualTo(200);
            assertThat(lines(rig)).isEmpty();
        }
    }
}
