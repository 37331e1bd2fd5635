package rillyard.audit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;
import rillyard.requestlog.HostExecution;

/** No effect twice, and none refused that may have run. */
final class AtMostOnceRule {
    private final Evidence evidence;
    private final AuditSettings settings;

    AtMostOnceRule(Evidence evidence, AuditSettings settings) {
        this.evidence = evidence;
        this.settings = settings;
    }

    void check(Consumer<Violation> to) {
        Set<String> seen = new HashSet<>();
        for (List<ClientAttempt> tries : evidence.byRequest().values()) {
            List<HostExecution> ran = new ArrayList<>();
            Set<String> ids = new HashSet<>();
            for (ClientAttempt attempt : tries) {
                if (ids.add(attempt.id())) {
                    evidence.byId(attempt.id()).stream()
                            .filter(HostExecution::mayHaveRun)
                            .forEach(ran::add);
                }
                checkRefusal(attempt, to);
            }
            seen.addAll(ids);
            once(tries.get(0).requestClass(), "request " + tries.get(0).request(), ran, to);
        }
        evidence.byId().forEach((id, runs) -> {
            if (!seen.contains(id)) { // a client that keeps no ledger sent it
                once(
                        runs.get(0).requestClass(),
                        "id " + id,
                        runs.stream().filter(HostExecution::mayHaveRun).toList(),
                        to);
            }
        });
        evidence.byKey().forEach((key, runs) -> {
            List<HostExecution> effects =
                    runs.stream().filter(HostExecution::effect).toList();
            if (effects.size() > 1) {
                HostExecution second = effects.get(1);
                to.accept(new Violation(
                        Violation.Rule.EFFECT,
                        second.received(),
                        "key " + second.key() + " had its effect " + effects.size() + " times",
                        evidence.history(second.id())));
            }
        });
    }

    private void once(String type, String what, List<HostExecution> ran, Consumer<Violation> to) {
        if (ran.size() > 1 && settings.type(type).semantics() == AuditSettings.Semantics.AT_MOST_ONCE) {
            HostExecution second = ran.get(1);
            to.accept(new Violation(
                    Violation.Rule.EFFECT,
                    second.received(),
                    what + " of " + type + " may have run " + ran.size() + " times",
                    evidence.history(second.id())));
        }
    }

    private void checkRefusal(ClientAttempt attempt, Consumer<Violation> to) {
        AuditSettings.RequestClass requestClass = settings.type(attempt.requestClass());
        boolean harmless = requestClass.semantics() == AuditSettings.Semantics.IDEMPOTENT
                || (requestClass.semantics() == AuditSettings.Semantics.DEDUPLICATED
                        && requestClass.scope() == AuditSettings.Scope.ALL);
        if (attempt.outcome() != ClientOutcome.REFUSED || harmless) {
            return;
        }
        for (HostExecution execution : evidence.byId(attempt.id())) {
            if (execution.mayHaveRun()) {
                to.accept(new Violation(
                        Violation.Rule.EFFECT,
                        attempt.ended(),
                        "id " + attempt.id() + " of " + attempt.requestClass() + " was refused and may have run at "
                                + execution.host(),
                        evidence.history(attempt.id())));
                return;
            }
        }
    }
}
