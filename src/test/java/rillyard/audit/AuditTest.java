package rillyard.audit;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;
import rillyard.requestlog.ExecutionResult;
import rillyard.requestlog.HostEvent;
import rillyard.requestlog.HostExecution;
import rillyard.requestlog.LogRecord;
import rillyard.requestlog.UnexpectedResponse;
import rillyard.requestlog.WatchNotification;

/** Plants each kind of violation, which must be found, and what is permitted, which must not be. */
class AuditTest {
    private static final String SETTINGS =
            """
      {"classes":[
        {"name":"list","semantics":"idempotent","keyScope":"all"},
        {"name":"log","semantics":"deduplicated","keyScope":"cell","repeatWindow":750},
        {"name":"everywhere","semantics":"deduplicated","keyScope":"all","repeatWindow":750},
        {"name":"claim","semantics":"at_most_once","keyScope":"all"}],
       "rules":{"answerSlack":20,"drainGrace":500,"fall":1500,"fallMultiple":3}}
      """;

    private static final long MS = 1_000;
    private static final long START = 1_000_000_000L;

    private final List<LogRecord> lines = new ArrayList<>();
    private int requests;

    /** Adds a request without a violation, so that the request logs have one in common. */
    @BeforeEach
    void good() {
        served("claim", "good", 0);
    }

    private Audit.Verdict judge() throws Exception {
        Audit audit = new Audit(AuditSettings.of(new ObjectMapper().readTree(SETTINGS)));
        lines.forEach(audit::add);
        return audit.evaluate();
    }

    private void clean() throws Exception {
        Audit.Verdict verdict = judge();
        assertThat(verdict.violations()).isEmpty();
        assertThat(verdict.warnings()).isEmpty();
        assertThat(verdict.isClean()).isTrue();
    }

    private Violation broken(Violation.Rule rule, String what) throws Exception {
        Audit.Verdict verdict = judge();
        assertThat(verdict.isClean()).isFalse();
        List<Violation> all = verdict.violations().stream()
                .filter(violation -> violation.rule() == rule)
                .toList();
        assertThat(all).as("%s in %s", rule, verdict.violations()).hasSize(1);
        assertThat(all.get(0).description()).contains(what);
        return all.get(0);
    }

    private void tried(String type, String id, long ms, long tookMs, ClientOutcome outcome) {
        tried(requests++, 0, type, id, null, ms, tookMs, outcome, true);
    }

    private void tried(
            long request,
            int number,
            String type,
            String id,
            String key,
            long ms,
            long tookMs,
            ClientOutcome outcome,
            boolean last) {
        long sent = START + ms * MS;
        int status = outcome == ClientOutcome.SERVED ? 200 : outcome == ClientOutcome.REFUSED ? 503 : 0;
        lines.add(new ClientAttempt(
                request,
                number,
                id,
                key,
                type,
                null,
                1,
                sent,
                sent,
                sent + tookMs * MS,
                400 * MS,
                outcome,
                status,
                0,
                last));
    }

    private HostExecution ran(
            String type, String id, String key, String host, long cell, long ms, ExecutionResult result) {
        long at = START + ms * MS;
        HostExecution run = new HostExecution(
                id, key, type, host, cell, "z", 0, at, result.mayHaveRun() ? at + 1 : 0, at + 5 * MS, 5 * MS, result);
        lines.add(run);
        return run;
    }

    private void ran(String type, String id, String host, long ms, ExecutionResult result) {
        ran(type, id, null, host, 0, ms, result);
    }

    private void served(String type, String id, long ms) {
        tried(type, id, ms, 10, ClientOutcome.SERVED);
        ran(type, id, "s-1", ms + 1, ExecutionResult.DONE);
    }

    // --- one response per request

    @Test
    void permittedOutcomesAreNoViolation() throws Exception {
        served("list", "a", 0);
        tried("claim", "b", 0, 5, ClientOutcome.REFUSED);
        tried("claim", "c", 0, 400, ClientOutcome.FAILED);
        ran("claim", "c", "s-1", 1, ExecutionResult.HUNG);
        tried("list", "d", 0, 3, ClientOutcome.ABANDONED);
        tried("list", "e", 0, 3, ClientOutcome.UNREACHABLE);
        clean();
    }

    @Test
    void requestWithoutResponseIsFound() throws Exception {
        tried("list", "a", 0, 470, ClientOutcome.UNANSWERED);
        assertThat(broken(Violation.Rule.ANSWER, "id a was lost: UNANSWERED").history())
                .anyMatch(h -> h.contains("client 1 sends try 0"))
                .anyMatch(h -> h.contains("UNANSWERED"));
    }

    @Test
    void connectionClosedBeforeResponseIsFound() throws Exception {
        tried("list", "a", 0, 5, ClientOutcome.BROKEN);
        broken(Violation.Rule.ANSWER, "id a was lost: BROKEN");
    }

    @Test
    void corruptResponseIsFound() throws Exception {
        tried("list", "a", 0, 5, ClientOutcome.GARBLED);
        broken(Violation.Rule.ANSWER, "id a was lost: GARBLED");
    }

    @Test
    void lateResponseIsFoundPastSlackOnly() throws Exception {
        tried("list", "in", 0, 469, ClientOutcome.FAILED);
        clean();
        tried("list", "out", 0, 475, ClientOutcome.FAILED);
        broken(Violation.Rule.ANSWER, "id out was answered 5 ms too late");
    }

    @Test
    void secondResponseIsFound() throws Exception {
        served("list", "a", 0);
        lines.add(new UnexpectedResponse(START + 20 * MS, "a"));
        broken(Violation.Rule.ANSWER, "more came behind the one answer to id a");
    }

    @Test
    void responseWithoutHostExecutionIsFound() throws Exception {
        tried("list", "a", 0, 5, ClientOutcome.SERVED);
        ran("list", "a", "s-1", 1, ExecutionResult.GARBLED);
        broken(Violation.Rule.ANSWER, "id a was served with what no host made for it");
    }

    @Test
    void attemptEndedTwiceIsFound() throws Exception {
        long request = requests++;
        tried(request, 0, "list", "a", null, 0, 5, ClientOutcome.REFUSED, false);
        tried(request, 0, "list", "a", null, 0, 9, ClientOutcome.REFUSED, true);
        broken(Violation.Rule.ANSWER, "has two ends of try 0");
    }

    @Test
    void requestWithoutLastAttemptIsFound() throws Exception {
        tried(requests++, 0, "list", "a", null, 0, 5, ClientOutcome.REFUSED, false);
        broken(Violation.Rule.ANSWER, "has no final answer");
    }

    @Test
    void staleConnectionIsViolationOnlyIfRequestWasForwarded() throws Exception {
        long request = requests++;
        tried(request, 0, "claim", "a", null, 0, 5, ClientOutcome.STALE, false);
        tried(request, 1, "claim", "a", null, 6, 9, ClientOutcome.SERVED, true);
        ran("claim", "a", "s-1", 8, ExecutionResult.DONE);
        clean();
        tried(requests++, 0, "list", "b", null, 0, 5, ClientOutcome.STALE, true);
        ran("list", "b", "s-1", 1, ExecutionResult.DONE);
        broken(Violation.Rule.ANSWER, "id b was taken and passed on");
    }

    // --- at-most-once execution

    @Test
    void nonIdempotentRequestExecutedTwiceIsFound() throws Exception {
        served("claim", "a", 0);
        ran("claim", "a", "s-2", 100, ExecutionResult.DONE);
        assertThat(broken(Violation.Rule.EFFECT, "may have run 2 times").history())
                .anyMatch(h -> h.contains("host s-1"))
                .anyMatch(h -> h.contains("host s-2"));
    }

    @Test
    void nonIdempotentRetryWithoutExecutionIsPermitted() throws Exception {
        served("claim", "a", 0);
        ran("claim", "a", "s-2", 0, ExecutionResult.TURNED_AWAY);
        ran("claim", "a", "s-3", 0, ExecutionResult.DROPPED);
        clean();
    }

    @Test
    void nonIdempotentRetryAfterErrorIsFound() throws Exception {
        served("claim", "a", 5);
        ran("claim", "a", "s-2", 0, ExecutionResult.ERROR);
        broken(Violation.Rule.EFFECT, "may have run 2 times");
    }

    @Test
    void nonIdempotentRetryUnderOtherIdIsFound() throws Exception {
        long request = requests++;
        tried(request, 0, "claim", "a", null, 0, 5, ClientOutcome.UNREACHABLE, false);
        tried(request, 1, "claim", "b", null, 6, 9, ClientOutcome.SERVED, true);
        ran("claim", "a", "s-1", 1, ExecutionResult.DONE);
        ran("claim", "b", "s-1", 7, ExecutionResult.DONE);
        broken(Violation.Rule.EFFECT, "may have run 2 times");
    }

    @Test
    void rejectionOfExecutedRequestIsFound() throws Exception {
        tried("claim", "a", 0, 5, ClientOutcome.REFUSED);
        ran("claim", "a", "s-1", 1, ExecutionResult.LEFT);
        broken(Violation.Rule.EFFECT, "id a of claim was refused and may have run at s-1");
    }

    @Test
    void rejectionOfCellScopedKeyIsFoundAndOfGlobalKeyIsNot() throws Exception {
        tried("everywhere", "a", 0, 5, ClientOutcome.REFUSED);
        ran("everywhere", "a", "s-1", 1, ExecutionResult.LEFT);
        tried("list", "b", 0, 5, ClientOutcome.REFUSED);
        ran("list", "b", "s-1", 1, ExecutionResult.LEFT);
        clean();
        tried("log", "c", 0, 5, ClientOutcome.REFUSED);
        ran("log", "c", "s-1", 1, ExecutionResult.LEFT);
        broken(Violation.Rule.EFFECT, "id c of log was refused");
    }

    @Test
    void idempotencyKeyWithTwoEffectsIsFound() throws Exception {
        ran("log", "a", "k", "s-1", 0, 0, ExecutionResult.DONE);
        ran("log", "b", "k", "s-9", 2, 900, ExecutionResult.DONE);
        broken(Violation.Rule.EFFECT, "key k had its effect 2 times");
    }

    @Test
    void nonIdempotentRequestOfUnknownClientExecutedTwiceIsFound() throws Exception {
        ran("claim", "x", "s-1", 0, ExecutionResult.DONE);
        ran("claim", "x", "s-2", 5, ExecutionResult.RESET);
        broken(Violation.Rule.EFFECT, "id x of claim may have run 2 times");
    }

    // --- idempotency keys

    @Test
    void retryWithKeyInCellWithinWindowIsPermitted() throws Exception {
        tried("log", "a", 0, 300, ClientOutcome.SERVED);
        ran("log", "a", "k", "s-1", 3, 1, ExecutionResult.HUNG);
        ran("log", "a", "k", "s-2", 3, 700, ExecutionResult.REMEMBERED);
        clean();
    }

    @Test
    void retryWithKeyOutsideCellIsFound() throws Exception {
        ran("log", "a", "k", "s-1", 3, 0, ExecutionResult.KILLED);
        ran("log", "a", "k", "s-9", 4, 100, ExecutionResult.DONE);
        broken(Violation.Rule.KEYED, "outside of its cell, at s-9");
    }

    @Test
    void retryWithKeyOutsideCellWithoutExecutionIsPermitted() throws Exception {
        ran("log", "a", "k", "s-1", 3, 0, ExecutionResult.TURNED_AWAY);
        ran("log", "a", "k", "s-9", 4, 100, ExecutionResult.DONE);
        clean();
    }

    @Test
    void retryWithKeyPastWindowIsFound() throws Exception {
        ran("log", "a", "k", "s-1", 3, 0, ExecutionResult.KILLED);
        ran("log", "a", "k", "s-2", 3, 810, ExecutionResult.DONE);
        broken(Violation.Rule.KEYED, "10 ms past its window");
    }

    // --- draining hosts

    private void told(long ms, long watcher, String host, String state) {
        lines.add(new WatchNotification(START + ms * MS, watcher, host, state, 1));
    }

    @Test
    void requestToDrainingHostIsFoundPastGraceOnly() throws Exception {
        told(100, 0, "s-1", "draining");
        told(200, 1, "s-1", "draining");
        served("list", "in", 745);
        clean();
        served("list", "out", 760);
        assertThat(broken(Violation.Rule.DRAIN, "got 1 requests past the grace, the first, id out")
                        .history())
                .anyMatch(h -> h.contains("watch 1 is told s-1 draining"));
    }

    @Test
    void requestToReturnedHostIsPermitted() throws Exception {
        told(100, 0, "s-1", "draining");
        told(101, 1, "s-1", "draining");
        told(500, 0, "s-1", "removed");
        told(501, 1, "s-1", "removed");
        told(2_000, 0, "s-1", "up");
        served("list", "a", 2_100);
        clean();
    }

    @Test
    void unnotifiedDrainCountsAsNotifiedAfterLimit() throws Exception {
        told(0, 0, "s-1", "removed");
        served("list", "a", 6_400);
        clean();
        served("list", "b", 6_700);
        broken(Violation.Rule.DRAIN, "id b");
    }

    // --- warming-up hosts

    private void cold(double capacity) {
        lines.add(new HostEvent(START, "cold", HostEvent.Kind.STARTED, null, capacity, 0.25, 8_000 * MS));
    }

    /** Adds requests of 10 ms of work each to the warming-up host, the given number of milliseconds apart. */
    private void flood(int count, int apart) {
        for (int i = 0; i < count; i++) {
            long at = START + (100L + (long) i * apart) * MS;
            lines.add(new HostExecution(
                    "f" + i, null, "list", "cold", 0, "z", 0, at, at + 1, at + 2, 10 * MS, ExecutionResult.DONE));
        }
    }

    @Test
    void warmingUpHostWithinBudgetIsNoViolation() throws Exception {
        cold(4); // initially 1 ms of work per ms; the budget is three times that
        flood(400, 4);
        clean();
    }

    @Test
    void overloadOfWarmingUpHostIsFound() throws Exception {
        cold(4);
        flood(1_600, 1);
        broken(Violation.Rule.COLD, "host cold, cold for ");
    }

    @Test
    void shortBurstToWarmingUpHostIsFound() throws Exception {
        cold(1); // a budget of 0.75 ms of work per ms for 1.5 s: 1,125 ms
        for (int i = 0; i < 200; i++) {
            long at = START + (100 + i / 50) * MS;
            lines.add(new HostExecution(
                    "f" + i, null, "list", "cold", 0, "z", 0, at, at + 1, at + 2, 10 * MS, ExecutionResult.DONE));
        }
        broken(Violation.Rule.COLD, "1500 ms, in ");
    }

    @Test
    void overloadOfWarmHostIsPermitted() throws Exception {
        lines.add(new HostEvent(START, "cold", HostEvent.Kind.STARTED, null, 4, 1, 0));
        flood(1_600, 1);
        clean();
    }

    // --- inconclusive request logs

    @Test
    void inconclusiveRequestLogsGiveWarnings() throws Exception {
        lines.clear();
        assertThat(judge().isClean()).isFalse();
        assertThat(judge().warnings()).anyMatch(d -> d.contains("nothing was proved"));
        tried("list", "a", 0, 5, ClientOutcome.SERVED);
        ran("list", "other", "s-1", 0, ExecutionResult.DONE);
        assertThat(judge().warnings()).anyMatch(d -> d.contains("of two runs"));
        tried("new", "b", 0, 5, ClientOutcome.REFUSED);
        assertThat(judge().warnings()).anyMatch(d -> d.contains("name no class new"));
    }
}
