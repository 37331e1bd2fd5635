package rillyard.audit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;
import rillyard.requestlog.HostExecution;

/** No effect twice, and none rejected that may have run. */
final class AtMostOnceRule {
    private final Evidence evidence;
    private final AuditSettings settings;

    AtMostOnceRule(Evidence evidence, AuditSettings settings) {
        this.evidence = evidence;
        this.settings = settings;
    }

    void check(Consumer<Violation> violations) {
        Set<String> seen = new HashSet<>();
        for (List<ClientAttempt> tries : evidence.attemptsByRequest().values()) {
            List<HostExecution> ran = new ArrayList<>();
            Set<String> ids = new HashSet<>();
            for (ClientAttempt attempt : tries) {
                if (ids.add(attempt.requestId())) {
                    evidence.executionsById(attempt.requestId()).stream()
                            .filter(HostExecution::mayHaveRun)
                            .forEach(ran::add);
                }
                checkRefusal(attempt, violations);
            }
            seen.addAll(ids);
            once(tries.get(0).requestClass(), "request " + tries.get(0).request(), ran, violations);
        }
        evidence.executionsById().forEach((id, runs) -> {
            if (!seen.contains(id)) { // a client that keeps no request log sent it
                once(
                        runs.get(0).requestClass(),
                        "id " + id,
                        runs.stream().filter(HostExecution::mayHaveRun).toList(),
                        violations);
            }
        });
        evidence.executionsByKey().forEach((key, runs) -> {
            List<HostExecution> effects =
                    runs.stream().filter(HostExecution::hadEffect).toList();
            if (effects.size() > 1) {
                HostExecution second = effects.get(1);
                violations.accept(new Violation(
                        Violation.Rule.EFFECT,
                        second.receivedAt(),
                        "key " + second.idempotencyKey() + " had its effect " + effects.size() + " times",
                        evidence.history(second.requestId())));
            }
        });
    }

    private void once(String type, String what, List<HostExecution> ran, Consumer<Violation> violations) {
        if (ran.size() > 1 && settings.requestClass(type).semantics() == AuditSettings.Semantics.AT_MOST_ONCE) {
            HostExecution second = ran.get(1);
            violations.accept(new Violation(
                    Violation.Rule.EFFECT,
                    second.receivedAt(),
                    what + " of " + type + " may have run " + ran.size() + " times",
                    evidence.history(second.requestId())));
        }
    }

    private void checkRefusal(ClientAttempt attempt, Consumer<Violation> violations) {
        AuditSettings.RequestClass requestClass = settings.requestClass(attempt.requestClass());
        boolean harmless = requestClass.semantics() == AuditSettings.Semantics.IDEMPOTENT
                || (requestClass.semantics() == AuditSettings.Semantics.DEDUPLICATED
                        && requestClass.keyScope() == AuditSettings.Scope.ALL);
        if (attempt.outcome() != ClientOutcome.REFUSED || harmless) {
            return;
        }
        for (HostExecution execution : evidence.executionsById(attempt.requestId())) {
            if (execution.mayHaveRun()) {
                violations.accept(new Violation(
                        Violation.Rule.EFFECT,
                        attempt.endedAt(),
                        "id " + attempt.requestId() + " of " + attempt.requestClass()
                                + " was refused and may have run at " + execution.host(),
                        evidence.history(attempt.requestId())));
                return;
            }
        }
    }
}
