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
            AuditSettings.RequestClass c = settings.type(runs.get(0).type());
            if (c.semantics() != AuditSettings.Semantics.DEDUPLICATED) {
                continue;
            }
            HostExecution first = null;
            for (HostExecution r : runs) {
                if (first != null) {
                    check(c, first, r, to);
                } else if (r.mayHaveRun()) {
                    first = r;
                }
            }
        }
    }

    private void check(AuditSettings.RequestClass c, HostExecution first, HostExecution again, Consumer<Violation> to) {
        boolean group =
                switch (c.scope()) {
                    case ALL -> true;
                    case ZONE -> first.zone().equals(again.zone());
                    case CELL -> first.cell() == again.cell();
                };
        long late = again.received() - first.received() - c.window() - settings.socketSlack();
        if (!group || late > 0) {
            to.accept(new Violation(
                    Violation.Rule.KEYED,
                    again.received(),
                    "id " + again.id() + " of " + c.name() + " came again "
                            + (group
                                    ? late / 1_000 + " ms past its window"
                                    : "outside of its " + c.scope().name().toLowerCase(java.util.Locale.ROOT) + ", at "
                                            + again.host()),
                    evidence.history(again.id())));
        }
    }
}
