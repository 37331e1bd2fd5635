package rillyard.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import rillyard.trace.TraceEvent;
import rillyard.trace.TraceEvent.Kind;

/** Checks the content of the trace, which a proxy writes to its log if it is enabled, and that it is off otherwise. */
class ProxyTraceTest {
    private static List<TraceEvent> traceEvents(ProxyFixture fixture) {
        return fixture.log()
                .lines()
                .map(TraceEvent::parse)
                .filter(Objects::nonNull)
                .toList();
    }

    /** Gives hosts that are warming up full capacity from the start, so that they get requests at once. */
    private static void useFullStartCapacity(ObjectNode config) {
        ((ObjectNode) config.path("settings").path("rules")).put("startCapacity", 1);
    }

    @Test
    void connectsAttemptsAndRejectionsAreTracedWithHostAndOutcome() throws Exception {
        String startedRecently = ProxyFixture.endpoint("a", 0)
                .replace("\"started_ms\":0", "\"started_ms\":" + (System.currentTimeMillis() - 5_000));
        try (ScriptedServer hostAtCapacity = new ScriptedServer(peer -> {
                    peer.read();
                    peer.write(ScriptedServer.status(503, "X-Not-Processed: 1\r\nConnection: close\r\n"));
                });
                ProxyFixture fixture = new ProxyFixture(
                        true,
                        null,
                        ProxyTraceTest::useFullStartCapacity,
                        startedRecently.replace("127.0.0.1:0", "127.0.0.1:" + hostAtCapacity.port()))) {
            assertThat(fixture.call(ProxyFixture.post("claim", 800, "", "x")).status())
                    .isEqualTo(503);
            List<TraceEvent> events = traceEvents(fixture);
            assertThat(events)
                    .extracting(TraceEvent::kind)
                    .startsWith(Kind.STARTED)
                    .contains(Kind.LIST, Kind.CONNECTED, Kind.ATTEMPT, Kind.REFUSED);
            assertThat(events)
                    .filteredOn(event -> event.kind() == Kind.ATTEMPT)
                    .isNotEmpty()
                    .allMatch(
                            event -> event.host().equals("a") && event.detail().equals("FULL") && event.warmingUp());
            assertThat(events)
                    .filteredOn(event -> event.kind() == Kind.REFUSED)
                    .extracting(TraceEvent::detail)
                    .containsExactly("FULL");
        }
    }

    /** A wall clock that is an hour ahead of discovery's makes a host that has just restarted look an hour old. */
    @Test
    void hostThatRestartsWarmsUpAlsoIfWallClockIsAhead() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture(
                        true, null, ProxyTraceTest::useFullStartCapacity, ProxyFixture.endpoint("a", host.port()))) {
            fixture.announce(
                    2, true, ProxyFixture.endpoint("a", host.port()), ProxyFixture.endpoint("b", 1, 0, "down"));
            String restarted = ProxyFixture.endpoint("a", host.port())
                    .replace("\"started_ms\":0", "\"started_ms\":" + (System.currentTimeMillis() - 3_600_000));
            fixture.announce(3, false, restarted);

            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (!hasWarmingUpAttempt(fixture) && System.nanoTime() < deadlineNanos) {
                assertThat(fixture.call(ProxyFixture.post("claim", 800, "", "x"))
                                .status())
                        .isEqualTo(200);
                Thread.sleep(20);
            }
            assertThat(hasWarmingUpAttempt(fixture)).isTrue();
        }
    }

    private static boolean hasWarmingUpAttempt(ProxyFixture fixture) {
        return traceEvents(fixture).stream().anyMatch(TraceEvent::warmingUp);
    }

    @Test
    void disabledTraceWritesNothing() throws Exception {
        try (ScriptedServer host = ScriptedServer.host(message -> ScriptedServer.ok("x"));
                ProxyFixture fixture = new ProxyFixture(ProxyFixture.endpoint("a", host.port()))) {
            assertThat(fixture.call(ProxyFixture.post("claim", 800, "", "x")).status())
                    .isEqualTo(200);
            assertThat(traceEvents(fixture)).isEmpty();
        }
    }
}
