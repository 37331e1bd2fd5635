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

/** Lays both ledgers beside each other. */
public final class Audit {
    /**
     * What was found.
     *
     * @param tries tries of clients that were checked
     * @param runs receipts of hosts that were checked
     * @param breaches in the order of their times
     * @param doubts why the ledgers prove less than they should; empty as a rule
     */
    public record Verdict(int tries, int runs, List<Violation> breaches, List<String> doubts) {
        /** Copies the lists. */
        public Verdict {
            breaches = List.copyOf(breaches);
            doubts = List.copyOf(doubts);
        }

        /** Whether the rules were kept, and the ledgers prove it. */
        public boolean clean() {
            return breaches.isEmpty() && doubts.isEmpty();
        }
    }

    private final Evidence evidence = new Evidence();
    private final AuditSettings settings;
    private final List<String> doubts = new ArrayList<>();

    /** An audit that holds the ledgers to these figures. */
    public Audit(AuditSettings settings) {
        this.settings = settings;
    }

    /**
     * Reads both ledgers and judges them.
     *
     * @throws InvalidConfigException at the first line that is none of a ledger
     */
    public static Verdict of(Path clients, Path hosts, AuditSettings settings) throws InvalidConfigException {
        Audit audit = new Audit(settings);
        if (!RequestLogReader.read(clients, "clients", audit::add)) {
            audit.doubts.add(clients + " was not closed: its last lines may be missing");
        }
        if (!RequestLogReader.read(hosts, "hosts", audit::add)) {
            audit.doubts.add(hosts + " was not closed: its last lines may be missing");
        }
        return audit.judge();
    }

    /** Takes a line of either ledger. */
    public void add(LogRecord line) {
        evidence.add(line);
    }

    /** Judges what was taken. */
    public Verdict judge() {
        evidence.sort();
        List<Violation> found = new ArrayList<>();
        new SingleResponseRule(evidence, settings).check(found::add);
        new AtMostOnceRule(evidence, settings).check(found::add);
        new IdempotencyKeyRule(evidence, settings).check(found::add);
        new DrainingRule(evidence, settings).check(found::add);
        new SlowStartRule(evidence, settings).check(found::add);
        found.sort(Comparator.comparingLong(Violation::at));
        if (evidence.tries.isEmpty()) {
            doubts.add("no client sent anything: nothing was proved");
        } else if (strangers()) {
            doubts.add("the ledgers have no request in common: they are of two runs");
        }
        Set<String> unknown = new HashSet<>();
        evidence.tries.forEach(attempt -> {
            if (!settings.classes().containsKey(attempt.requestClass())) {
                unknown.add(attempt.requestClass());
            }
        });
        if (!unknown.isEmpty()) {
            doubts.add("the settings name no class " + String.join(", ", unknown));
        }
        return new Verdict(evidence.tries.size(), evidence.runs.size(), found, doubts);
    }

    private boolean strangers() {
        boolean served = false;
        for (ClientAttempt attempt : evidence.tries) {
            if (!evidence.byId(attempt.id()).isEmpty()) {
                return false;
            }
            served |= attempt.outcome() == ClientOutcome.SERVED;
        }
        return served || !evidence.runs.isEmpty();
    }
}
