package rillyard.audit;

import java.util.List;
import java.util.function.Consumer;
import rillyard.requestlog.HostExecution;

/**
 * Checks that a request with an idempotency key, once it may have been executed, is repeated only at hosts that share
 * the key, and only while they remember it.
 */
final class IdempotencyKeyRule {
    private final Evidence evidence;
    private final AuditSettings settings;

    IdempotencyKeyRule(Evidence evidence, AuditSettings settings) {
        this.evidence = evidence;
        this.settings = settings;
    }

    void check(Consumer<Violation> violations) {
        for (List<HostExecution> executions : evidence.executionsById().values()) {
            AuditSettings.RequestClass requestClass =
                    settings.requestClass(executions.get(0).requestClass());
            if (requestClass.semantics() != AuditSettings.Semantics.DEDUPLICATED) {
                continue;
            }
            HostExecution first = null;
            for (HostExecution execution : executions) {
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
            HostExecution repeat,
            Consumer<Violation> violations) {
        boolean inScope =
                switch (requestClass.keyScope()) {
                    case ALL -> true;
                    case ZONE -> first.zone().equals(repeat.zone());
                    case CELL -> first.cell() == repeat.cell();
                };
        long latenessMicros = repeat.receivedAt()
                - first.receivedAt()
                - requestClass.idempotencyWindowMicros()
                - settings.socketSlackMicros();
        if (!inScope || latenessMicros > 0) {
            violations.accept(new Violation(
                    Violation.Rule.KEYED,
                    repeat.receivedAt(),
                    "id " + repeat.requestId() + " of " + requestClass.name() + " was received again "
                            + (inScope
                                    ? latenessMicros / 1_000 + " ms after its idempotency window"
                                    : "outside its "
                                            + requestClass.keyScope().name().toLowerCase(java.util.Locale.ROOT)
                                            + ", at "
                                            + repeat.host()),
                    evidence.history(repeat.requestId())));
        }
    }
}
