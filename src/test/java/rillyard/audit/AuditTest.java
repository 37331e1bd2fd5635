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

/** Tests that the audit finds each kind of violation in constructed records, and none in permitted behaviour. */
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
    private static final long START_MICROS = 1_000_000_000L;

    private final List<LogRecord> records = new ArrayList<>();
    private int requests;

    /** Adds a request without a violation, so that the request logs have one in common. */
    @BeforeEach
    void addPermittedRequest() {
        addServedRequest("claim", "good", 0);
    }

    private Audit.Verdict evaluate() throws Exception {
        Audit audit = new Audit(AuditSettings.of(new ObjectMapper().readTree(SETTINGS)));
        records.forEach(audit::add);
        return audit.evaluate();
    }

    private void assertClean() throws Exception {
        Audit.Verdict verdict = evaluate();
        assertThat(verdict.violations()).isEmpty();
        assertThat(verdict.warnings()).isEmpty();
        assertThat(verdict.isClean()).isTrue();
    }

    private Violation assertViolation(Violation.Rule rule, String what) throws Exception {
        Audit.Verdict verdict = evaluate();
        assertThat(verdict.isClean()).isFalse();
        List<Violation> all = verdict.violations().stream()
                .filter(violation -> violation.rule() == rule)
                .toList();
        assertThat(all).as("%s in %s", rule, verdict.violations()).hasSize(1);
        assertThat(all.get(0).description()).contains(what);
        return all.get(0);
    }

    private void addAttempt(String type, String id, long ms, long tookMs, ClientOutcome outcome) {
        addAttempt(requests++, 0, type, id, null, ms, tookMs, outcome, true);
    }

    private void addAttempt(
            long request,
            int number,
            String type,
            String id,
            String key,
            long ms,
            long tookMs,
            ClientOutcome outcome,
            boolean last) {
        long sentAtMicros = START_MICROS + ms * MS;
        int status = outcome == ClientOutcome.SERVED ? 200 : outcome == ClientOutcome.REFUSED ? 503 : 0;
        records.add(new ClientAttempt(
                request,
                number,
                id,
                key,
                type,
                null,
                1,
                sentAtMicros,
                sentAtMicros,
                sentAtMicros + tookMs * MS,
                400 * MS,
                outcome,
                status,
                0,
                last));
    }

    private HostExecution addExecution(
            String type, String id, String key, String host, long cell, long ms, ExecutionResult result) {
        long atMicros = START_MICROS + ms * MS;
        HostExecution execution = new HostExecution(
                id,
                key,
                type,
                host,
                cell,
                "z",
                0,
                atMicros,
                result.mayHaveRun() ? atMicros + 1 : 0,
                atMicros + 5 * MS,
                5 * MS,
                result);
        records.add(execution);
        return execution;
    }

    private void addExecution(String type, String id, String host, long ms, ExecutionResult result) {
        addExecution(type, id, null, host, 0, ms, result);
    }

    private void addServedRequest(String type, String id, long ms) {
        addAttempt(type, id, ms, 10, ClientOutcome.SERVED);
        addExecution(type, id, "s-1", ms + 1, ExecutionResult.DONE);
    }

    // --- one response per request

    @Test
    void permittedOutcomesAreNoViolation() throws Exception {
        addServedRequest("list", "a", 0);
        addAttempt("claim", "b", 0, 5, ClientOutcome.REFUSED);
        addAttempt("claim", "c", 0, 400, ClientOutcome.FAILED);
        addExecution("claim", "c", "s-1", 1, ExecutionResult.HUNG);
        addAttempt("list", "d", 0, 3, ClientOutcome.ABANDONED);
        addAttempt("list", "e", 0, 3, ClientOutcome.UNREACHABLE);
        assertClean();
    }

    @Test
    void requestWithoutResponseIsFound() throws Exception {
        addAttempt("list", "a", 0, 470, ClientOutcome.UNANSWERED);
        assertThat(assertViolation(Violation.Rule.ANSWER, "id a got no valid response: UNANSWERED")
                        .history())
                .anyMatch(h -> h.contains("client 1 sends attempt 0"))
                .anyMatch(h -> h.contains("UNANSWERED"));
    }

    @Test
    void connectionClosedBeforeResponseIsFound() throws Exception {
        addAttempt("list", "a", 0, 5, ClientOutcome.BROKEN);
        assertViolation(Violation.Rule.ANSWER, "id a got no valid response: BROKEN");
    }

    @Test
    void corruptResponseIsFound() throws Exception {
        addAttempt("list", "a", 0, 5, ClientOutcome.GARBLED);
        assertViolation(Violation.Rule.ANSWER, "id a got no valid response: GARBLED");
    }

    @Test
    void lateResponseIsFoundPastSlackOnly() throws Exception {
        addAttempt("list", "in", 0, 469, ClientOutcome.FAILED);
        assertClean();
        addAttempt("list", "out", 0, 475, ClientOutcome.FAILED);
        assertViolation(Violation.Rule.ANSWER, "id out was answered 5 ms too late");
    }

    @Test
    void secondResponseIsFound() throws Exception {
        addServedRequest("list", "a", 0);
        records.add(new UnexpectedResponse(START_MICROS + 20 * MS, "a"));
        assertViolation(Violation.Rule.ANSWER, "more bytes arrived after the final response to id a");
    }

    @Test
    void responseWithoutHostExecutionIsFound() throws Exception {
        addAttempt("list", "a", 0, 5, ClientOutcome.SERVED);
        addExecution("list", "a", "s-1", 1, ExecutionResult.GARBLED);
        assertViolation(Violation.Rule.ANSWER, "id a was served with a response that no host produced");
    }

    @Test
    void attemptEndedTwiceIsFound() throws Exception {
        long request = requests++;
        addAttempt(request, 0, "list", "a", null, 0, 5, ClientOutcome.REFUSED, false);
        addAttempt(request, 0, "list", "a", null, 0, 9, ClientOutcome.REFUSED, true);
        assertViolation(Violation.Rule.ANSWER, "has two records of attempt 0");
    }

    @Test
    void requestWithoutLastAttemptIsFound() throws Exception {
        addAttempt(requests++, 0, "list", "a", null, 0, 5, ClientOutcome.REFUSED, false);
        assertViolation(Violation.Rule.ANSWER, "has no final response in the request log");
    }

    @Test
    void staleConnectionIsViolationOnlyIfRequestWasForwarded() throws Exception {
        long request = requests++;
        addAttempt(request, 0, "claim", "a", null, 0, 5, ClientOutcome.STALE, false);
        addAttempt(request, 1, "claim", "a", null, 6, 9, ClientOutcome.SERVED, true);
        addExecution("claim", "a", "s-1", 8, ExecutionResult.DONE);
        assertClean();
        addAttempt(requests++, 0, "list", "b", null, 0, 5, ClientOutcome.STALE, true);
        addExecution("list", "b", "s-1", 1, ExecutionResult.DONE);
        assertViolation(Violation.Rule.ANSWER, "id b was accepted and forwarded");
    }

    // --- at-most-once execution

    @Test
    void nonIdempotentRequestExecutedTwiceIsFound() throws Exception {
        addServedRequest("claim", "a", 0);
        addExecution("claim", "a", "s-2", 100, ExecutionResult.DONE);
        assertThat(assertViolation(Violation.Rule.EFFECT, "may have been executed 2 times")
                        .history())
                .anyMatch(h -> h.contains("host s-1"))
                .anyMatch(h -> h.contains("host s-2"));
    }

    @Test
    void nonIdempotentRetryWithoutExecutionIsPermitted() throws Exception {
        addServedRequest("claim", "a", 0);
        addExecution("claim", "a", "s-2", 0, ExecutionResult.TURNED_AWAY);
        addExecution("claim", "a", "s-3", 0, ExecutionResult.DROPPED);
        assertClean();
    }

    @Test
    void nonIdempotentRetryAfterErrorIsFound() throws Exception {
        addServedRequest("claim", "a", 5);
        addExecution("claim", "a", "s-2", 0, ExecutionResult.ERROR);
        assertViolation(Violation.Rule.EFFECT, "may have been executed 2 times");
    }

    @Test
    void nonIdempotentRetryUnderOtherIdIsFound() throws Exception {
        long request = requests++;
        addAttempt(request, 0, "claim", "a", null, 0, 5, ClientOutcome.UNREACHABLE, false);
        addAttempt(request, 1, "claim", "b", null, 6, 9, ClientOutcome.SERVED, true);
        addExecution("claim", "a", "s-1", 1, ExecutionResult.DONE);
        addExecution("claim", "b", "s-1", 7, ExecutionResult.DONE);
        assertViolation(Violation.Rule.EFFECT, "may have been executed 2 times");
    }

    @Test
    void rejectionOfExecutedRequestIsFound() throws Exception {
        addAttempt("claim", "a", 0, 5, ClientOutcome.REFUSED);
        addExecution("claim", "a", "s-1", 1, ExecutionResult.LEFT);
        assertViolation(Violation.Rule.EFFECT, "id a of claim was rejected and may have been executed at s-1");
    }

    @Test
    void rejectionOfCellScopedKeyIsFoundAndOfGlobalKeyIsNot() throws Exception {
        addAttempt("everywhere", "a", 0, 5, ClientOutcome.REFUSED);
        addExecution("everywhere", "a", "s-1", 1, ExecutionResult.LEFT);
        addAttempt("list", "b", 0, 5, ClientOutcome.REFUSED);
        addExecution("list", "b", "s-1", 1, ExecutionResult.LEFT);
        assertClean();
        addAttempt("log", "c", 0, 5, ClientOutcome.REFUSED);
        addExecution("log", "c", "s-1", 1, ExecutionResult.LEFT);
        assertViolation(Violation.Rule.EFFECT, "id c of log was rejected");
    }

    @Test
    void idempotencyKeyWithTwoEffectsIsFound() throws Exception {
        addExecution("log", "a", "k", "s-1", 0, 0, ExecutionResult.DONE);
        addExecution("log", "b", "k", "s-9", 2, 900, ExecutionResult.DONE);
        assertViolation(Violation.Rule.EFFECT, "key k took effect 2 times");
    }

    @Test
    void nonIdempotentRequestOfUnknownClientExecutedTwiceIsFound() throws Exception {
        addExecution("claim", "x", "s-1", 0, ExecutionResult.DONE);
        addExecution("claim", "x", "s-2", 5, ExecutionResult.RESET);
        assertViolation(Violation.Rule.EFFECT, "id x of claim may have been executed 2 times");
    }

    // --- idempotency keys

    @Test
    void retryWithKeyInCellWithinWindowIsPermitted() throws Exception {
        addAttempt("log", "a", 0, 300, ClientOutcome.SERVED);
        addExecution("log", "a", "k", "s-1", 3, 1, ExecutionResult.HUNG);
        addExecution("log", "a", "k", "s-2", 3, 700, ExecutionResult.REMEMBERED);
        assertClean();
    }

    @Test
    void retryWithKeyOutsideCellIsFound() throws Exception {
        addExecution("log", "a", "k", "s-1", 3, 0, ExecutionResult.KILLED);
        addExecution("log", "a", "k", "s-9", 4, 100, ExecutionResult.DONE);
        assertViolation(Violation.Rule.KEYED, "outside its cell, at s-9");
    }

    @Test
    void retryWithKeyOutsideCellWithoutExecutionIsPermitted() throws Exception {
        addExecution("log", "a", "k", "s-1", 3, 0, ExecutionResult.TURNED_AWAY);
        addExecution("log", "a", "k", "s-9", 4, 100, ExecutionResult.DONE);
        assertClean();
    }

    @Test
    void retryWithKeyPastWindowIsFound() throws Exception {
        addExecution("log", "a", "k", "s-1", 3, 0, ExecutionResult.KILLED);
        addExecution("log", "a", "k", "s-2", 3, 810, ExecutionResult.DONE);
        assertViolation(Violation.Rule.KEYED, "10 ms after its idempotency window");
    }

    // --- draining hosts

    private void addNotification(long ms, long watcher, String host, String state) {
        records.add(new WatchNotification(START_MICROS + ms * MS, watcher, host, state, 1));
    }

    @Test
    void requestToDrainingHostIsFoundPastGraceOnly() throws Exception {
        addNotification(100, 0, "s-1", "draining");
        addNotification(200, 1, "s-1", "draining");
        addServedRequest("list", "in", 745);
        assertClean();
        addServedRequest("list", "out", 760);
        assertThat(assertViolation(
                                Violation.Rule.DRAIN, "received 1 requests after the grace period, the first, id out")
                        .history())
                .anyMatch(h -> h.contains("watch 1 was notified: s-1 draining"));
    }

    @Test
    void requestToReturnedHostIsPermitted() throws Exception {
        addNotification(100, 0, "s-1", "draining");
        addNotification(101, 1, "s-1", "draining");
        addNotification(500, 0, "s-1", "removed");
        addNotification(501, 1, "s-1", "removed");
        addNotification(2_000, 0, "s-1", "up");
        addServedRequest("list", "a", 2_100);
        assertClean();
    }

    @Test
    void unnotifiedDrainCountsAsNotifiedAfterLimit() throws Exception {
        addNotification(0, 0, "s-1", "removed");
        addServedRequest("list", "a", 6_400);
        assertClean();
        addServedRequest("list", "b", 6_700);
        assertViolation(Violation.Rule.DRAIN, "id b");
    }

    // --- warming-up hosts

    private void addColdStart(double capacity) {
        records.add(new HostEvent(START_MICROS, "cold", HostEvent.Kind.STARTED, null, capacity, 0.25, 8_000 * MS));
    }

    /** Adds requests of 10 ms of work each to the warming-up host, the given number of milliseconds apart. */
    private void addRequestsToColdHost(int count, int intervalMillis) {
        for (int i = 0; i < count; i++) {
            long atMicros = START_MICROS + (100L + (long) i * intervalMillis) * MS;
            records.add(new HostExecution(
                    "f" + i,
                    null,
                    "list",
                    "cold",
                    0,
                    "z",
                    0,
                    atMicros,
                    atMicros + 1,
                    atMicros + 2,
                    10 * MS,
                    ExecutionResult.DONE));
        }
    }

    @Test
    void warmingUpHostWithinBudgetIsNoViolation() throws Exception {
        addColdStart(4); // initially 1 ms of work per ms; the budget is three times that
        addRequestsToColdHost(400, 4);
        assertClean();
    }

    @Test
    void overloadOfWarmingUpHostIsFound() throws Exception {
        addColdStart(4);
        addRequestsToColdHost(1_600, 1);
        assertViolation(Violation.Rule.COLD, "host cold, warming up for ");
    }

    @Test
    void shortBurstToWarmingUpHostIsFound() throws Exception {
        addColdStart(1); // a budget of 0.75 ms of work per ms for 1.5 s: 1,125 ms
        for (int i = 0; i < 200; i++) {
            long atMicros = START_MICROS + (100 + i / 50) * MS;
            records.add(new HostExecution(
                    "f" + i,
                    null,
                    "list",
                    "cold",
                    0,
                    "z",
                    0,
                    atMicros,
                    atMicros + 1,
                    atMicros + 2,
                    10 * MS,
                    ExecutionResult.DONE));
        }
        assertViolation(Violation.Rule.COLD, "1500 ms, in ");
    }

    @Test
    void overloadOfWarmHostIsPermitted() throws Exception {
        records.add(new HostEvent(START_MICROS, "cold", HostEvent.Kind.STARTED, null, 4, 1, 0));
        addRequestsToColdHost(1_600, 1);
        assertClean();
    }

    // --- inconclusive request logs

    @Test
    void inconclusiveRequestLogsGiveWarnings() throws Exception {
        records.clear();
        assertThat(evaluate().isClean()).isFalse();
        assertThat(evaluate().warnings()).anyMatch(d -> d.contains("nothing was proved"));
        addAttempt("list", "a", 0, 5, ClientOutcome.SERVED);
        addExecution("list", "other", "s-1", 0, ExecutionResult.DONE);
        assertThat(evaluate().warnings()).anyMatch(d -> d.contains("from different runs"));
        addAttempt("new", "b", 0, 5, ClientOutcome.REFUSED);
        assertThat(evaluate().warnings()).anyMatch(d -> d.contains("do not define the classes new"));
    }
}
