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

/** The app that is modelled, on a virtual clock: when it gives up, comes back, and stops asking. */
class LogicalRequestTest {
    private static final String CLIENTS = "[clients]\ncount = 1\ntry_share = [0.5, 0.5]\nheeding = 1\n";
    private static final String ONE = "[[shape]]\nkind = 'steady'\nfor_s = 1\nrate = 1\n";

    @TempDir
    Path folder;

    private final VirtualScheduler timers = new VirtualScheduler();
    private FakeTransport transport;
    private RunStatistics tally;

    /** Plays one request whose attempts have these fates, and returns what the request log says. */
    private List<ClientAttempt> play(String semantics, String clients, FakeTransport.Fate... fates) throws Exception {
        Iterator<FakeTransport.Fate> next = List.of(fates).iterator();
        String type = "[[class]]\nname = 'c'\nsemantics = '" + semantics + "'\naim_ms = 400\ndeadline_ms = 1000\n"
                + "window_ms = 300\n";
        LoadPlan plan = LoadPlanReader.parse("p", CLIENTS + clients + type + ONE, folder);
        transport = new FakeTransport(timers, request -> next.next());
        tally = new RunStatistics(plan.seconds());
        boolean[] done = new boolean[1];
        Path file = folder.resolve("c.jsonl");
        try (RequestLogWriter writer = RequestLogWriter.open(file, new LogHeader("clients", 1, 1))) {
            new LoadGenerator(plan, timers, transport, writer, tally, () -> done[0] = true).start();
            timers.drain();
        }
        assertThat(done[0]).isTrue();
        List<ClientAttempt> out = new ArrayList<>();
        RequestLogReader.read(file, "clients", line -> out.add((ClientAttempt) line));
        assertThat(out.stream().filter(ClientAttempt::lastAttempt)).hasSize(1);
        return out;
    }

    private List<ClientOutcome> outcomes(String semantics, String clients, FakeTransport.Fate... fates)
            throws Exception {
        return play(semantics, clients, fates).stream()
                .map(ClientAttempt::outcome)
                .toList();
    }

    private static FakeTransport.Fate failed() {
        return FakeTransport.Fate.of(1, ClientOutcome.FAILED, 502);
    }

    private static FakeTransport.Fate refused() {
        return FakeTransport.Fate.refused(1, 0);
    }

    @Test
    void whatIsSafeIsTriedAgainThreeTimesAndWhatIsNotOnlyWhenRefused() throws Exception {
        assertThat(outcomes("idempotent", "", failed(), failed(), failed(), failed()))
                .hasSize(4)
                .containsOnly(ClientOutcome.FAILED);
        assertThat(outcomes("at-most-once", "", failed())).containsExactly(ClientOutcome.FAILED);
        assertThat(outcomes("keyed", "", failed())).containsExactly(ClientOutcome.FAILED);
        assertThat(outcomes("keyed-everywhere", "", failed(), FakeTransport.Fate.served(1)))
                .containsExactly(ClientOutcome.FAILED, ClientOutcome.SERVED);
        assertThat(outcomes("at-most-once", "", refused(), refused(), FakeTransport.Fate.served(1)))
                .containsExactly(ClientOutcome.REFUSED, ClientOutcome.REFUSED, ClientOutcome.SERVED);
        FakeTransport.Fate gone = FakeTransport.Fate.of(1, ClientOutcome.UNREACHABLE, 0);
        assertThat(outcomes("at-most-once", "", gone, FakeTransport.Fate.served(1)))
                .containsExactly(ClientOutcome.UNREACHABLE, ClientOutcome.SERVED);
    }

    @Test
    void everyTryHasItsOwnIdAndAllHaveTheOneKey() throws Exception {
        List<ClientAttempt> tries = play("keyed", "", refused(), FakeTransport.Fate.served(1));
        assertThat(tries).extracting(ClientAttempt::requestId).doesNotHaveDuplicates();
        assertThat(tries).extracting(ClientAttempt::idempotencyKey).doesNotContainNull();
        assertThat(tries.get(0).idempotencyKey()).isEqualTo(tries.get(1).idempotencyKey());
        assertThat(transport.tries)
                .extracting(Transport.OutgoingRequest::retried)
                .containsExactly(false, true);
    }

    @Test
    void aKeyIsNotSentAgainPastItsWindow() throws Exception {
        FakeTransport.Fate late = FakeTransport.Fate.of(301, ClientOutcome.FAILED, 502);
        assertThat(outcomes("keyed-everywhere", "", late)).containsExactly(ClientOutcome.FAILED);
    }

    @Test
    void aConnectionThatHadGoneHasTheSameRequestSentOnceMoreOnANewOne() throws Exception {
        List<ClientAttempt> tries = play(
                "at-most-once", "", FakeTransport.Fate.of(1, ClientOutcome.STALE, 0), FakeTransport.Fate.served(1));
        assertThat(tries).extracting(ClientAttempt::outcome).containsExactly(ClientOutcome.STALE, ClientOutcome.SERVED);
        assertThat(tries.get(0).requestId()).isEqualTo(tries.get(1).requestId());
        assertThat(transport.tries)
                .extracting(Transport.OutgoingRequest::newConnection)
                .containsExactly(false, true);
    }

    @Test
    void noRequestIsSentMoreThanSixTimes() throws Exception {
        FakeTransport.Fate stale = FakeTransport.Fate.of(1, ClientOutcome.STALE, 0);
        assertThat(outcomes("idempotent", "", stale, refused(), stale, refused(), stale, refused()))
                .hasSize(6);
    }

    @Test
    void aTryIsGivenUpAtItsShareOfTheDeadlineAndTheGraceBehindIt() throws Exception {
        List<ClientAttempt> tries =
                play("idempotent", "grace_ms = 70\n", FakeTransport.Fate.silence(), FakeTransport.Fate.silence());
        assertThat(tries).extracting(ClientAttempt::outcome).containsOnly(ClientOutcome.UNANSWERED);
        assertThat(tries.get(0).timeoutMicros()).isEqualTo(500_000);
        assertThat(tries.get(0).endedAt() - tries.get(0).sentAt()).isEqualTo(570_000);
        assertThat(tries.get(1).timeoutMicros()).isEqualTo(430_000); // what was left of the deadline
        assertThat(tries).hasSize(2);
        assertThat(transport.abandoned).isEqualTo(2);
    }

    @Test
    void aClientThatDoesNotSayWhenLeavesBefore() throws Exception {
        List<ClientAttempt> tries = play("at-most-once", "announced = false\n", FakeTransport.Fate.served(501));
        assertThat(tries.get(0).outcome()).isEqualTo(ClientOutcome.ABANDONED);
        assertThat(tries.get(0).timeoutMicros()).isEqualTo(1_000_000);
        assertThat(tries.get(0).endedAt() - tries.get(0).sentAt()).isEqualTo(500_000);
        assertThat(tally.total().abandoned).isEqualTo(1);
        assertThat(tally.total().latency.getTotalCount()).isZero(); // the late answer isn't counted
    }

    @Test
    void retryAfterIsHeededAndAPauseGrows() throws Exception {
        play("idempotent", "", FakeTransport.Fate.refused(1, 200), FakeTransport.Fate.served(1));
        assertThat(transport.at.get(1) - transport.at.get(0)).isEqualTo(201_000_000L);
        play(
                "idempotent",
                "heeding = 0\n".replace("heeding = 0", "pause_ms = 10\ngrowth = 3"),
                refused(),
                refused(),
                refused(),
                FakeTransport.Fate.served(1));
        assertThat(transport.at.get(1) - transport.at.get(0)).isEqualTo(11_000_000L);
        assertThat(transport.at.get(2) - transport.at.get(1)).isEqualTo(31_000_000L);
        assertThat(transport.at.get(3) - transport.at.get(2)).isEqualTo(91_000_000L);
    }

    @Test
    void nobodyComesBackPastTheDeadline() throws Exception {
        assertThat(outcomes("idempotent", "", FakeTransport.Fate.refused(1, 1_500)))
                .containsExactly(ClientOutcome.REFUSED);
        assertThat(Files.exists(folder.resolve("c.jsonl"))).isTrue();
    }

    @Test
    void latencyCountsFromTheScheduleOverAllTries() throws Exception {
        play("idempotent", "", refused(), FakeTransport.Fate.served(300));
        assertThat(tally.total().latency.getMaxValue()).isBetween(301_000L, 301_200L);
        assertThat(tally.total().withinObjective).isEqualTo(1);
        play("idempotent", "", FakeTransport.Fate.of(200, ClientOutcome.FAILED, 500), FakeTransport.Fate.served(201));
        assertThat(tally.total().late).isEqualTo(1);
    }
}
