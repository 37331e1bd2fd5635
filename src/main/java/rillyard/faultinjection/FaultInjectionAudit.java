package rillyard.faultinjection;

import java.nio.file.Path;
import java.util.List;
import rillyard.audit.Audit;
import rillyard.audit.AuditSettings;
import rillyard.config.InvalidConfigException;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;
import rillyard.requestlog.RequestLogReader;

/**
 * The audit of a fault-injection run's request logs. A request whose own proxy was killed or stood still under it is owed no answer;
 * all else holds for it too.
 *
 * @param abandonedAttempts attempts that were excused so
 */
public record FaultInjectionAudit(Audit.Verdict verdict, int abandonedAttempts) {
    /** What a process that was stopped may still owe when it goes on (us): the slack of an answer, and the turn it is in. */
    private static final long AFTER_US = 1_000_000;

    /** Reads both request logs. */
    static FaultInjectionAudit of(
            Path clients, Path hosts, Path config, FaultInjectionPlan plan, List<FaultInjectionResult.Done> done)
            throws InvalidConfigException {
        Audit audit = new Audit(AuditSettings.read(config));
        int[] notOwed = {0};
        boolean whole = RequestLogReader.read(clients, "clients", line -> {
            if (line instanceof ClientAttempt attempt && hit(attempt, plan, done)) {
                notOwed[0]++;
                audit.add(abandoned(attempt));
            } else {
                audit.add(line);
            }
        });
        whole &= RequestLogReader.read(hosts, "hosts", audit::add);
        Audit.Verdict verdict = audit.evaluate();
        if (!whole) {
            List<String> doubts = new java.util.ArrayList<>(verdict.warnings());
            doubts.add("a ledger was not closed: its last lines may be missing");
            verdict = new Audit.Verdict(verdict.attempts(), verdict.executions(), verdict.violations(), doubts);
        }
        return new FaultInjectionAudit(verdict, notOwed[0]);
    }

    /** Whether its process was killed or stood still while it was under way. */
    private static boolean hit(ClientAttempt attempt, FaultInjectionPlan plan, List<FaultInjectionResult.Done> done) {
        FleetProcess own = plan.serving(attempt.client());
        for (FaultInjectionResult.Done d : done) {
            InjectedFault fault = d.fault();
            boolean halts = fault.target() == InjectedFault.Place.PROCESSES
                    && fault.kind() != InjectedFault.Kind.TERM
                    && fault.sources().matches(own);
            long from = d.at() * 1_000;
            long until = from + (long) (fault.durationMs() * 1_000) + AFTER_US;
            if (d.begin() && halts && attempt.sentAt() <= until && attempt.endedAt() >= from) {
                return true;
            }
        }
        return false;
    }

    private static ClientAttempt abandoned(ClientAttempt attempt) {
        ClientOutcome outcome = attempt.outcome() == ClientOutcome.SERVED
                        || (attempt.outcome() == ClientOutcome.REFUSED
                                && attempt.endedAt() <= attempt.sentAt() + attempt.timeoutMicros())
                ? attempt.outcome()
                : ClientOutcome.ABANDONED;
        long ended = outcome == ClientOutcome.SERVED
                ? Math.min(attempt.endedAt(), attempt.sentAt() + attempt.timeoutMicros())
                : attempt.endedAt();
        return new ClientAttempt(
                attempt.request(),
                attempt.attemptNumber(),
                attempt.requestId(),
                attempt.idempotencyKey(),
                attempt.requestClass(),
                attempt.tenant(),
                attempt.client(),
                attempt.scheduledAt(),
                attempt.sentAt(),
                ended,
                attempt.timeoutMicros(),
                outcome,
                attempt.status(),
                attempt.retryAfterMicros(),
                attempt.lastAttempt());
    }
}
