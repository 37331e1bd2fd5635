package rillyard.audit;

import java.util.List;
import java.util.function.Consumer;
import rillyard.requestlog.HostExecution;

/** A request with an idempotency key that may have run goes again only to hosts that know its key, while they do. */
final class IdempotencyKeyRule {
    private final Evidence evidence;
    private final AuditSettings settings;

    IdempotencyKeyRule(Evidence evidence, AuditSettings settings) {
        this.evidence = evidence;
        this.settings = settings;
    }

    void check(Consumer<Violation> violations) {
        for (List<HostExecution> runs : evidence.executionsById().values()) {
            AuditSettings.RequestClass requestClass =
                    settings.requestClass(runs.get(0).requestClass());
            if (requestClass.semantics() != AuditSettings.Semantics.DEDUPLICATED) {
                continue;
            }
            HostExecution first = null;
            for (HostExecution execution : runs) {
                if (first != null) {
                    check(requestClass, first, execution, violations);
                } else if (execution.mayHaveRun()) {
                    first = execution;
                }
            }
        }
    }

    private void check(
            AuditSettings.RequestClass requestClass,
            HostExecution first,
            HostExecution again,
            Consumer<Violation> violations) {
        boolean group =
                switch (requestClass.keyScope()) {
                    case ALL -> true;
                    case ZONE -> first.zone().equals(again.zone());
                    case CELL -> first.cell() == again.cell();
                };
        long late = again.receivedAt() - first.receivedAt() - requestClass.idempotencyWindow() - settings.socketSlack();
        if (!group || late > 0) {
            violations.accept(new Violation(
                    Violation.Rule.KEYED,
                    again.receivedAt(),
                    "id " + again.requestId() + " of " + requestClass.name() + " came again "
                            + (group
                                    ? late / 1_000 + " ms past its window"
                                    : "outside of its "
                                            + requestClass.keyScope().name().toLowerCase(java.util.Locale.ROOT)
                                            + ", at "
                                            + again.host()),
                    evidence.history(again.requestId())));
        }
    }
}
