package rillyard.audit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;
import rillyard.requestlog.HostExecution;

/** Checks that no non-idempotent request is executed twice, and that none is rejected that may have been executed. */
final class AtMostOnceRule {
    private final Evidence evidence;
    private final AuditSettings settings;

    AtMostOnceRule(Evidence evidence, AuditSettings settings) {
        this.evidence = evidence;
        this.settings = settings;
    }

    void check(Consumer<Violation> violations) {
        Set<String> auditedIds = new HashSet<>();
        for (List<ClientAttempt> attempts : evidence.attemptsByRequest().values()) {
            List<HostExecution> executions = new ArrayList<>();
            Set<String> ids = new HashSet<>();
            for (ClientAttempt attempt : attempts) {
                if (ids.add(attempt.requestId())) {
                    evidence.executionsById(attempt.requestId()).stream()
                            .filter(HostExecution::mayHaveRun)
                            .forEach(executions::add);
                }
                checkRejection(attempt, violations);
            }
            auditedIds.addAll(ids);
            checkExecutedOnce(
                    attempts.get(0).requestClass(), "request " + attempts.get(0).request(), executions, violations);
        }
        evidence.executionsById().forEach((id, executions) -> {
            if (!auditedIds.contains(id)) { // sent by a client without a request log
                checkExecutedOnce(
                        executions.get(0).requestClass(),
                        "id " + id,
                        executions.stream().filter(HostExecution::mayHaveRun).toList(),
                        violations);
            }
        });
        evidence.executionsByKey().forEach((key, executions) -> {
            List<HostExecution> effects =
                    executions.stream().filter(HostExecution::hadEffect).toList();
            if (effects.size() > 1) {
                HostExecution second = effects.get(1);
                violations.accept(new Violation(
                        Violation.Rule.EFFECT,
                        second.receivedAt(),
                        "key " + second.idempotencyKey() + " took effect " + effects.size() + " times",
                        evidence.history(second.requestId())));
            }
        });
    }

    private void checkExecutedOnce(
            String className, String subject, List<HostExecution> executions, Consumer<Violation> violations) {
        if (executions.size() > 1
                && settings.requestClass(className).semantics() == AuditSettings.Semantics.AT_MOST_ONCE) {
            HostExecution second = executions.get(1);
            violations.accept(new Violation(
                    Violation.Rule.EFFECT,
                    second.receivedAt(),
                    subject + " of " + className + " may have been executed " + executions.size() + " times",
                    evidence.history(second.requestId())));
        }
    }

    private void checkRejection(ClientAttempt attempt, Consumer<Violation> violations) {
        AuditSettings.RequestClass requestClass = settings.requestClass(attempt.requestClass());
        boolean retryIsHarmless = requestClass.semantics() == AuditSettings.Semantics.IDEMPOTENT
                || (requestClass.semantics() == AuditSettings.Semantics.DEDUPLICATED
                        && requestClass.keyScope() == AuditSettings.Scope.ALL);
        if (attempt.outcome() != ClientOutcome.REFUSED || retryIsHarmless) {
            return;
        }
        for (HostExecution execution : evidence.executionsById(attempt.requestId())) {
            if (execution.mayHaveRun()) {
                violations.accept(new Violation(
                        Violation.Rule.EFFECT,
                        attempt.endedAt(),
                        "id " + attempt.requestId() + " of " + attempt.requestClass()
                                + " was rejected and may have been executed at " + execution.host(),
                        evidence.history(attempt.requestId())));
                return;
            }
        }
    }
}
