package rillyard.trial;

import java.nio.file.Path;
import java.util.List;
import rillyard.audit.Audit;
import rillyard.audit.AuditSettings;
import rillyard.input.InvalidFileException;
import rillyard.ledger.ClientTry;
import rillyard.ledger.LedgerReader;
import rillyard.ledger.Outcome;

/**
 * The audit of a trial's ledgers. A request whose own proxy was killed or stood still under it is owed no answer;
 * all else holds for it too.
 *
 * @param notOwed tries that were excused so
 */
public record TrialAudit(Audit.Verdict verdict, int notOwed) {
    /** What a process that was stopped may still owe when it goes on (us): the slack of an answer, and the turn it is in. */
    private static final long AFTER_US = 1_000_000;

    /** Reads both ledgers. */
    static TrialAudit of(Path clients, Path hosts, Path config, TrialPlan plan, List<TrialResult.Done> done)
            throws InvalidFileException {
        Audit audit = new Audit(AuditSettings.read(config));
        int[] notOwed = {0};
        boolean whole = LedgerReader.read(clients, "clients", line -> {
            if (line instanceof ClientTry t && hit(t, plan, done)) {
                notOwed[0]++;
                audit.add(abandoned(t));
            } else {
                audit.add(line);
            }
        });
        whole &= LedgerReader.read(hosts, "hosts", audit::add);
        Audit.Verdict v = audit.judge();
        if (!whole) {
            List<String> doubts = new java.util.ArrayList<>(v.doubts());
            doubts.add("a ledger was not closed: its last lines may be missing");
            v = new Audit.Verdict(v.tries(), v.runs(), v.breaches(), doubts);
        }
        return new TrialAudit(v, notOwed[0]);
    }

    /** Whether its process was killed or stood still while it was under way. */
    private static boolean hit(ClientTry t, TrialPlan plan, List<TrialResult.Done> done) {
        TrialMember own = plan.serving(t.client());
        for (TrialResult.Done d : done) {
            Fault f = d.fault();
            boolean halts = f.place() == Fault.Place.PROCESSES && f.kind() != Fault.Kind.TERM && f.on().has(own);
            long from = d.at() * 1_000;
            long until = from + (long) (f.lasts() * 1_000) + AFTER_US;
            if (d.begin() && halts && t.sent() <= until && t.ended() >= from) {
                return true;
            }
        }
        return false;
    }

    private static ClientTry abandoned(ClientTry t) {
        Outcome o =
                t.outcome() == Outcome.SERVED || t.outcome() == Outcome.REFUSED && t.ended() <= t.sent() + t.timeout()
                        ? t.outcome()
                        : Outcome.ABANDONED;
        long ended = o == Outcome.SERVED ? Math.min(t.ended(), t.sent() + t.timeout()) : t.ended();
        return new ClientTry(
                t.request(),
                t.number(),
                t.id(),
                t.key(),
                t.type(),
                t.tenant(),
                t.client(),
                t.intended(),
                t.sent(),
                ended,
                t.timeout(),
                o,
                t.status(),
                t.retryAfter(),
                t.last());
    }
}
