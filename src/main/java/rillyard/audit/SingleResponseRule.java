package rillyard.audit;

import java.util.List;
import java.util.function.Consumer;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;
import rillyard.requestlog.ExecutionResult;
import rillyard.requestlog.HostExecution;
import rillyard.requestlog.UnexpectedResponse;

/** No request lost: each try that was taken has exactly one final answer, in time, from a host or none. */
final class SingleResponseRule {
    private final Evidence evidence;
    private final AuditSettings settings;

    SingleResponseRule(Evidence evidence, AuditSettings settings) {
        this.evidence = evidence;
        this.settings = settings;
    }

    void check(Consumer<Violation> to) {
        for (List<ClientAttempt> tries : evidence.byRequest().values()) {
            for (int i = 0; i < tries.size(); i++) {
                ClientAttempt attempt = tries.get(i);
                if (attempt.number() != i) {
                    to.accept(breach(
                            attempt,
                            "request " + attempt.request() + " has two ends of try " + attempt.number()
                                    + ", or none of try " + i));
                }
                check(attempt, to);
            }
            ClientAttempt last = tries.get(tries.size() - 1);
            if (!last.last()) {
                to.accept(breach(last, "request " + last.request() + " has no final answer in the ledger"));
            }
        }
        for (UnexpectedResponse response : evidence.surplus) {
            to.accept(new Violation(
                    Violation.Rule.ANSWER,
                    response.at(),
                    "more came behind the one answer to id " + response.id(),
                    evidence.history(response.id())));
        }
    }

    private void check(ClientAttempt attempt, Consumer<Violation> to) {
        ClientOutcome outcome = attempt.outcome();
        long due = attempt.sent() + attempt.timeout() + settings.answerSlack() + settings.socketSlack();
        if (outcome.isLost()) {
            to.accept(breach(attempt, "id " + attempt.id() + " was lost: " + outcome));
        } else if (answered(outcome) && attempt.ended() > due) {
            to.accept(breach(
                    attempt,
                    "id " + attempt.id() + " was answered " + (attempt.ended() - due) / 1_000 + " ms too late: "
                            + outcome));
        } else if (outcome == ClientOutcome.SERVED && !made(attempt.id())) {
            to.accept(breach(attempt, "id " + attempt.id() + " was served with what no host made for it"));
        } else if (outcome == ClientOutcome.STALE && received(attempt)) {
            to.accept(breach(
                    attempt,
                    "id " + attempt.id() + " was taken and passed on, and its connection ended"
                            + " without an answer"));
        }
    }

    private static boolean answered(ClientOutcome outcome) {
        return outcome == ClientOutcome.SERVED || outcome == ClientOutcome.REFUSED || outcome == ClientOutcome.FAILED;
    }

    private boolean made(String id) {
        for (HostExecution execution : evidence.byId(id)) {
            if (execution.result() == ExecutionResult.DONE || execution.result() == ExecutionResult.REMEMBERED) {
                return true;
            }
        }
        return false;
    }

    private boolean received(ClientAttempt attempt) {
        return evidence.byId(attempt.id()).stream()
                .anyMatch(execution ->
                        execution.received() <= attempt.ended() && execution.result() != ExecutionResult.TURNED_AWAY);
    }

    private Violation breach(ClientAttempt attempt, String what) {
        return new Violation(Violation.Rule.ANSWER, attempt.ended(), what, evidence.history(attempt.id()));
    }
}
