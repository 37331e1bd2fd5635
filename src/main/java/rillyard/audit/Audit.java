package rillyard.audit;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import rillyard.config.InvalidConfigException;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;
import rillyard.requestlog.LogRecord;
import rillyard.requestlog.RequestLogReader;

/** Checks the request logs of clients and hosts against the rules of the protocol. Not thread-safe. */
public final class Audit {
    /**
     * The result of an audit.
     *
     * @param attempts number of client attempts that were checked
     * @param executions number of host executions that were checked
     * @param violations the violations, in the order of their times
     * @param warnings reasons why the logs do not prove that the rules were kept; usually empty
     */
    public record Verdict(int attempts, int executions, List<Violation> violations, List<String> warnings) {
        /** Copies the lists, so that a verdict never changes. */
        public Verdict {
            violations = List.copyOf(violations);
            warnings = List.copyOf(warnings);
        }

        /** Returns whether no rule was violated and the request logs prove it. */
        public boolean isClean() {
            return violations.isEmpty() && warnings.isEmpty();
        }
    }

    private final Evidence evidence = new Evidence();
    private final AuditSettings settings;
    private final List<String> warnings = new ArrayList<>();

    /** Creates an audit with the limits of a deployment. */
    public Audit(AuditSettings settings) {
        this.settings = settings;
    }

    /**
     * Reads both request logs and checks them.
     *
     * @throws InvalidConfigException at the first line that is not a record of a request log
     */
    public static Verdict of(Path clients, Path hosts, AuditSettings settings) throws InvalidConfigException {
        Audit audit = new Audit(settings);
        if (!RequestLogReader.read(clients, "clients", audit::add)) {
            audit.warnings.add(clients + " was not closed: its last records may be missing");
        }
        if (!RequestLogReader.read(hosts, "hosts", audit::add)) {
            audit.warnings.add(hosts + " was not closed: its last records may be missing");
        }
        return audit.evaluate();
    }

    /** Adds a record of either log, in any order. */
    public void add(LogRecord logRecord) {
        evidence.add(logRecord);
    }

    /** Checks all rules against the records added so far. May be called only once. */
    public Verdict evaluate() {
        evidence.sort();
        List<Violation> violations = new ArrayList<>();
        new SingleResponseRule(evidence, settings).check(violations::add);
        new AtMostOnceRule(evidence, settings).check(violations::add);
        new IdempotencyKeyRule(evidence, settings).check(violations::add);
        new DrainingRule(evidence, settings).check(violations::add);
        new SlowStartRule(evidence, settings).check(violations::add);
        violations.sort(Comparator.comparingLong(Violation::atMicros));
        warnOfMissingEvidence();
        return new Verdict(evidence.attempts.size(), evidence.executions.size(), violations, warnings);
    }

    private void warnOfMissingEvidence() {
        if (evidence.attempts.isEmpty()) {
            warnings.add("no client sent a request: nothing was proved");
        } else if (hasNoCommonRequest()) {
            warnings.add("the request logs have no request in common: they are from different runs");
        }
        Set<String> unknownClasses = new HashSet<>();
        for (ClientAttempt attempt : evidence.attempts) {
            if (!settings.classes().containsKey(attempt.requestClass())) {
                unknownClasses.add(attempt.requestClass());
            }
        }
        if (!unknownClasses.isEmpty()) {
            warnings.add("the settings do not define the classes " + String.join(", ", unknownClasses));
        }
    }

    /** Returns whether the two logs have no request in common, although requests were served or received. */
    private boolean hasNoCommonRequest() {
        boolean served = false;
        for (ClientAttempt attempt : evidence.attempts) {
            if (!evidence.executionsById(attempt.requestId()).isEmpty()) {
                return false;
            }
            served |= attempt.outcome() == ClientOutcome.SERVED;
        }
        return served || !evidence.executions.isEmpty();
    }
}
