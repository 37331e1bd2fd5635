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
 * The audit of a fault-injection run's request logs. No response is owed to an attempt whose proxy was killed or
 * stopped while the attempt was in flight; all other rules apply to it too.
 *
 * @param verdict the result of the audit
 * @param abandonedAttempts number of attempts that were owed no response
 */
public record FaultInjectionAudit(Audit.Verdict verdict, int abandonedAttempts) {
    /** Time in microseconds for which a resumed process may still respond late. */
    private static final long AFTER_HALT_MICROS = 1_000_000;

    /** Reads and audits both request logs. */
    static FaultInjectionAudit of(
            Path clients,
            Path hosts,
            Path config,
            FaultInjectionPlan plan,
            List<FaultInjectionResult.ExecutedStep> executedSteps)
            throws InvalidConfigException {
        Audit audit = new Audit(AuditSettings.read(config));
        int[] abandonedCount = {0};
        boolean complete = RequestLogReader.read(clients, "clients", logRecord -> {
            if (logRecord instanceof ClientAttempt attempt && wasHalted(attempt, plan, executedSteps)) {
                abandonedCount[0]++;
                audit.add(abandoned(attempt));
            } else {
                audit.add(logRecord);
            }
        });
        complete &= RequestLogReader.read(hosts, "hosts", audit::add);
        Audit.Verdict verdict = audit.evaluate();
        if (!complete) {
            List<String> warnings = new java.util.ArrayList<>(verdict.warnings());
            warnings.add("a ledger was not closed: its last lines may be missing");
            verdict = new Audit.Verdict(verdict.attempts(), verdict.executions(), verdict.violations(), warnings);
        }
        return new FaultInjectionAudit(verdict, abandonedCount[0]);
    }

    /** Returns whether the attempt's proxy was halted while the attempt was in flight. */
    private static boolean wasHalted(
            ClientAttempt attempt, FaultInjectionPlan plan, List<FaultInjectionResult.ExecutedStep> executedSteps) {
        FleetProcess process = plan.servingProcess(attempt.client());
        for (FaultInjectionResult.ExecutedStep step : executedSteps) {
            InjectedFault fault = step.fault();
            boolean halts = fault.target() == InjectedFault.Target.PROCESSES
                    && fault.kind() != InjectedFault.Kind.TERM
                    && fault.sources().matches(process);
            long fromMicros = step.at() * 1_000;
            long untilMicros = fromMicros + (long) (fault.durationMs() * 1_000) + AFTER_HALT_MICROS;
            if (step.begins() && halts && attempt.sentAt() <= untilMicros && attempt.endedAt() >= fromMicros) {
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
        long endedAt = outcome == ClientOutcome.SERVED
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
                endedAt,
                attempt.timeoutMicros(),
                outcome,
                attempt.status(),
                attempt.retryAfterMicros(),
                attempt.lastAttempt());
    }
}
