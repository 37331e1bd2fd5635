package rillyard.loadgen;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;
import rillyard.requestlog.LogHeader;
import rillyard.requestlog.RequestLogReader;
import rillyard.requestlog.RequestLogWriter;
import rillyard.scheduling.VirtualScheduler;

/** Tests timeouts, retries and backoff of a simulated client on a virtual clock. */
class LogicalRequestTest {
    private static final String CLIENTS = "[clients]\ncount = 1\ntry_share = [0.5, 0.5]\nheeding = 1\n";
    private static final String ONE_REQUEST = "[[shape]]\nkind = 'steady'\nfor_s = 1\nrate = 1\n";

    @TempDir
    Path folder;

    private final VirtualScheduler scheduler = new VirtualScheduler();
    private FakeTransport transport;
    private RunStatistics statistics;

    /** Runs one request whose attempts have the scripted results, and returns its records in the request log. */
    private List<ClientAttempt> run(String semantics, String clients, FakeTransport.ScriptedResult... script)
            throws Exception {
        Iterator<FakeTransport.ScriptedResult> next = List.of(script).iterator();
        String classToml = "[[class]]\nname = 'c'\nsemantics = '" + semantics + "'\naim_ms = 400\ndeadline_ms = 1000\n"
                + "window_ms = 300\n";
        LoadPlan plan = LoadPlanReader.parse("p", CLIENTS + clients + classToml + ONE_REQUEST, folder);
        transport = new FakeTransport(scheduler, request -> next.next());
        statistics = new RunStatistics(plan.seconds());
        boolean[] done = new boolean[1];
        Path file = folder.resolve("c.jsonl");
        try (RequestLogWriter writer = RequestLogWriter.open(file, new LogHeader("clients", 1, 1))) {
            new LoadGenerator(plan, scheduler, transport, writer, statistics, () -> done[0] = true).start();
            scheduler.drain();
        }
        assertThat(done[0]).isTrue();
        List<ClientAttempt> attempts = new ArrayList<>();
        RequestLogReader.read(file, "clients", line -> attempts.add((ClientAttempt) line));
        assertThat(attempts.stream().filter(ClientAttempt::lastAttempt)).hasSize(1);
        return attempts;
    }

    private List<ClientOutcome> outcomes(String semantics, String clients, FakeTransport.ScriptedResult... script)
            throws Exception {
        return run(semantics, clients, script).stream()
                .map(ClientAttempt::outcome)
                .toList();
    }

    private static FakeTransport.ScriptedResult failed() {
        return FakeTransport.ScriptedResult.of(1, ClientOutcome.FAILED, 502);
    }

    private static FakeTransport.ScriptedResult rejected() {
        return FakeTransport.ScriptedResult.rejected(1, 0);
    }

    @Test
    void idempotentRequestIsRetriedAndOthersOnlyAfterRejection() throws Exception {
        assertThat(outcomes("idempotent", "", failed(), failed(), failed(), failed()))
                .hasSize(4)
                .containsOnly(ClientOutcome.FAILED);
        assertThat(outcomes("at-most-once", "", failed())).containsExactly(ClientOutcome.FAILED);
        assertThat(outcomes("keyed", "", failed())).containsExactly(ClientOutcome.FAILED);
        assertThat(outcomes("keyed-everywhere", "", failed(), FakeTransport.ScriptedResult.served(1)))
                .containsExactly(ClientOutcome.FAILED, ClientOutcome.SERVED);
        assertThat(outcomes("at-most-once", "", rejected(), rejected(), FakeTransport.ScriptedResult.served(1)))
                .containsExactly(ClientOutcome.REFUSED, ClientOutcome.REFUSED, ClientOutcome.SERVED);
        FakeTransport.ScriptedResult unreachable = FakeTransport.ScriptedResult.of(1, ClientOutcome.UNREACHABLE, 0);
        assertThat(outcomes("at-most-once", "", unreachable, FakeTransport.ScriptedResult.served(1)))
                .containsExactly(ClientOutcome.UNREACHABLE, ClientOutcome.SERVED);
    }

    @Test
    void attemptsHaveDistinctIdsAndOneIdempotencyKey() throws Exception {
        List<ClientAttempt> attempts = run("keyed", "", rejected(), FakeTransport.ScriptedResult.served(1));
        assertThat(attempts).extracting(ClientAttempt::requestId).doesNotHaveDuplicates();
        assertThat(attempts).extracting(ClientAttempt::idempotencyKey).doesNotContainNull();
        assertThat(attempts.get(0).idempotencyKey()).isEqualTo(attempts.get(1).idempotencyKey());
        assertThat(transport.sentRequests)
                .extracting(Transport.OutgoingRequest::retried)
                .containsExactly(false, true);
    }

    @Test
    void keyedRequestIsNotRetriedPastIdempotencyWindow() throws Exception {
        FakeTransport.ScriptedResult late = FakeTransport.ScriptedResult.of(301, ClientOutcome.FAILED, 502);
        assertThat(outcomes("keyed-everywhere", "", late)).containsExactly(ClientOutcome.FAILED);
    }

    @Test
    void staleConnectionResendsSameRequestOnNewConnection() throws Exception {
        List<ClientAttempt> attempts = run(
                "at-most-once",
                "",
                FakeTransport.ScriptedResult.of(1, ClientOutcome.STALE, 0),
                FakeTransport.ScriptedResult.served(1));
        assertThat(attempts)
                .extracting(ClientAttempt::outcome)
                .containsExactly(ClientOutcome.STALE, ClientOutcome.SERVED);
        assertThat(attempts.get(0).requestId()).isEqualTo(attempts.get(1).requestId());
        assertThat(transport.sentRequests)
                .extracting(Transport.OutgoingRequest::newConnection)
                .containsExactly(false, true);
    }

    @Test
    void requestIsSentAtMostSixTimes() throws Exception {
        FakeTransport.ScriptedResult stale = FakeTransport.ScriptedResult.of(1, ClientOutcome.STALE, 0);
        assertThat(outcomes("idempotent", "", stale, rejected(), stale, rejected(), stale, rejected()))
                .hasSize(6);
    }

    @Test
    void attemptIsAbandonedAtItsTimeoutPlusGrace() throws Exception {
        List<ClientAttempt> attempts = run(
                "idempotent",
                "grace_ms = 70\n",
                FakeTransport.ScriptedResult.noResponse(),
                FakeTransport.ScriptedResult.noResponse());
        assertThat(attempts).extracting(ClientAttempt::outcome).containsOnly(ClientOutcome.UNANSWERED);
        assertThat(attempts.get(0).timeoutMicros()).isEqualTo(500_000);
        assertThat(attempts.get(0).endedAt() - attempts.get(0).sentAt()).isEqualTo(570_000);
        assertThat(attempts.get(1).timeoutMicros()).isEqualTo(430_000); // the remaining time to the deadline
        assertThat(attempts).hasSize(2);
        assertThat(transport.abandoned).isEqualTo(2);
    }

    @Test
    void unannouncedTimeoutAbandonsBeforeDeadline() throws Exception {
        List<ClientAttempt> attempts =
                run("at-most-once", "announced = false\n", FakeTransport.ScriptedResult.served(501));
        assertThat(attempts.get(0).outcome()).isEqualTo(ClientOutcome.ABANDONED);
        assertThat(attempts.get(0).timeoutMicros()).isEqualTo(1_000_000);
        assertThat(attempts.get(0).endedAt() - attempts.get(0).sentAt()).isEqualTo(500_000);
        assertThat(statistics.total().abandoned).isEqualTo(1);
        assertThat(statistics.total().latency.getTotalCount()).isZero(); // the late response is not counted
    }

    @Test
    void retryAfterIsHonoredAndBackoffGrows() throws Exception {
        run("idempotent", "", FakeTransport.ScriptedResult.rejected(1, 200), FakeTransport.ScriptedResult.served(1));
        assertThat(transport.sentAtNanos.get(1) - transport.sentAtNanos.get(0)).isEqualTo(201_000_000L);
        run(
                "idempotent",
                "heeding = 0\n".replace("heeding = 0", "pause_ms = 10\ngrowth = 3"),
                rejected(),
                rejected(),
                rejected(),
                FakeTransport.ScriptedResult.served(1));
        assertThat(transport.sentAtNanos.get(1) - transport.sentAtNanos.get(0)).isEqualTo(11_000_000L);
        assertThat(transport.sentAtNanos.get(2) - transport.sentAtNanos.get(1)).isEqualTo(31_000_000L);
        assertThat(transport.sentAtNanos.get(3) - transport.sentAtNanos.get(2)).isEqualTo(91_000_000L);
    }

    @Test
    void requestIsNotRetriedPastDeadline() throws Exception {
        assertThat(outcomes("idempotent", "", FakeTransport.ScriptedResult.rejected(1, 1_500)))
                .containsExactly(ClientOutcome.REFUSED);
        assertThat(Files.exists(folder.resolve("c.jsonl"))).isTrue();
    }

    @Test
    void latencyCountsFromScheduledTimeOverAllAttempts() throws Exception {
        run("idempotent", "", rejected(), FakeTransport.ScriptedResult.served(300));
        assertThat(statistics.total().latency.getMaxValue()).isBetween(301_000L, 301_200L);
        assertThat(statistics.total().withinObjective).isEqualTo(1);
        run(
                "idempotent",
                "",
                FakeTransport.ScriptedResult.of(200, ClientOutcome.FAILED, 500),
                FakeTransport.ScriptedResult.served(201));
        assertThat(statistics.total().late).isEqualTo(1);
    }
}
