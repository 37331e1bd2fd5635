package rillyard.audit;

import java.util.List;
import java.util.function.Consumer;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;
import rillyard.requestlog.ExecutionResult;
import rillyard.requestlog.HostExecution;
import rillyard.requestlog.UnexpectedResponse;

/**
 * Checks that each accepted attempt has exactly one final response, in time, and that each response 200 was produced by
 * a host.
 */
final class SingleResponseRule {
    private final Evidence evidence;
    private final AuditSettings settings;

    SingleResponseRule(Evidence evidence, AuditSettings settings) {
        this.evidence = evidence;
        this.settings = settings;
    }

    void check(Consumer<Violation> violations) {
        for (List<ClientAttempt> attempts : evidence.attemptsByRequest().values()) {
            for (int i = 0; i < attempts.size(); i++) {
                ClientAttempt attempt = attempts.get(i);
                if (attempt.attemptNumber() != i) {
                    violations.accept(violation(
                            attempt,
                            "request " + attempt.request() + " has two records of attempt " + attempt.attemptNumber()
                                    + ", or none of attempt " + i));
                }
                check(attempt, violations);
            }
            ClientAttempt last = attempts.get(attempts.size() - 1);
            if (!last.lastAttempt()) {
                violations.accept(
                        violation(last, "request " + last.request() + " has no final response in the request log"));
            }
        }
        for (UnexpectedResponse response : evidence.unexpectedResponses) {
            violations.accept(new Violation(
                    Violation.Rule.ANSWER,
                    response.at(),
                    "more bytes arrived after the final response to id " + response.requestId(),
                    evidence.history(response.requestId())));
        }
    }

    private void check(ClientAttempt attempt, Consumer<Violation> violations) {
        ClientOutcome outcome = attempt.outcome();
        long deadlineMicros = attempt.sentAt()
                + attempt.timeoutMicros()
                + settings.answerSlackMicros()
                + settings.socketSlackMicros();
        if (outcome.isLost()) {
            violations.accept(violation(attempt, "id " + attempt.requestId() + " got no valid response: " + outcome));
        } else if (hasResponse(outcome) && attempt.endedAt() > deadlineMicros) {
            violations.accept(violation(
                    attempt,
                    "id " + attempt.requestId() + " was answered " + (attempt.endedAt() - deadlineMicros) / 1_000
                            + " ms too late: " + outcome));
        } else if (outcome == ClientOutcome.SERVED && !wasExecuted(attempt.requestId())) {
            violations.accept(violation(
                    attempt, "id " + attempt.requestId() + " was served with a response that no host produced"));
        } else if (outcome == ClientOutcome.STALE && wasReceived(attempt)) {
            violations.accept(violation(
                    attempt,
                    "id " + attempt.requestId() + " was accepted and forwarded, but its connection ended"
                            + " without a response"));
        }
    }

    private static boolean hasResponse(ClientOutcome outcome) {
        return outcome == ClientOutcome.SERVED || outcome == ClientOutcome.REFUSED || outcome == ClientOutcome.FAILED;
    }

    private boolean wasExecuted(String requestId) {
        for (HostExecution execution : evidence.executionsById(requestId)) {
            if (execution.result() == ExecutionResult.DONE || execution.result() == ExecutionResult.REMEMBERED) {
                return true;
            }
        }
        return false;
    }

    private boolean wasReceived(ClientAttempt attempt) {
        return evidence.executionsById(attempt.requestId()).stream()
                .anyMatch(execution -> execution.receivedAt() <= attempt.endedAt()
                        && execution.result() != ExecutionResult.TURNED_AWAY);
    }

    private Violation violation(ClientAttempt attempt, String description) {
        return new Violation(
                Violation.Rule.ANSWER, attempt.endedAt(), description, evidence.history(attempt.requestId()));
    }
}
