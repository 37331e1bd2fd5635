package rillyard.audit;

import java.util.List;
import java.util.function.Consumer;
import rillyard.requestlog.HostExecution;

/** A keyed request that may have run goes again only to hosts that know its key, while they do. */
final class IdempotencyKeyRule {
    private final Evidence evidence;
    private final AuditSettings settings;

    IdempotencyKeyRule(Evidence evidence, AuditSettings settings) {
        this.evidence = evidence;
        this.settings = settings;
    }

    void check(Consumer<Violation> to) {
        for (List<HostExecution> runs : evidence.byId().values()) {
            AuditSettings.RequestClass requestClass = settings.type(runs.get(0).requestClass());
            if (requestClass.semantics() != AuditSettings.Semantics.DEDUPLICATED) {
                continue;
            }
            HostExecution first = null;
            for (HostExecution execution : runs) {
                if (first != null) {
                    check(requestClass, first, execution, to);
                } else if (execution.mayHaveRun()) {
                    first = execution;
                }
            }
        }
    }

    private void check(
            AuditSettings.RequestClass requestClass, HostExecution first, HostExecution again, Consumer<Violation> to) {
        boolean group =
                switch (requestClass.scope()) {
                    case ALL -> true;
                    case ZONE -> first.zone().equals(again.zone());
                    case CELL -> first.cell() == again.cell();
                };
        long late = again.received() - first.received() - requestClass.window() - settings.socketSlack();
        if (!group || late > 0) {
            to.accept(new Violation(
                    Violation.Rule.KEYED,
                    again.received(),
                    "id " + again.id() + " of " + requestClass.name() + " came again "
                            + (group
                                    ? late / 1_000 + " ms past its window"
                                    : "outside of its "
                                            + requestClass.scope().name().toLowerCase(java.util.Locale.ROOT) + ", at "
                                            + again.host()),
                    evidence.history(again.id())));
        }
    }
}
