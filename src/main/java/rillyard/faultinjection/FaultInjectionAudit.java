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
 * The audit of a trial's ledgers. A request whose own proxy was killed or stood still under it is owed no answer;
 * all else holds for it too.
 *
 * @param notOwed tries that were excused so
 */
public record FaultInjectionAudit(Audit.Verdict verdict, int notOwed) {
    /** What a process that was stopped may still owe when it goes on (us): the slack of an answer, and the turn it is in. */
    private static final long AFTER_US = 1_000_000;

    /** Reads both ledgers. */
    static FaultInjectionAudit of(
            Path clients, Path hosts, Path config, FaultInjectionPlan plan, List<FaultInjectionResult.Done> done)
            throws InvalidConfigException {
        Audit audit = new Audit(AuditSettings.read(config));
        int[] notOwed = {0};
        boolean whole = RequestLogReader.read(clients, "clients", line -> {
            if (line instanceof ClientAttempt t && hit(t, plan, done)) {
                notOwed[0]++;
                audit.add(abandoned(t));
            } else {
                audit.add(line);
            }
        });
        whole &= RequestLogReader.read(hosts, "hosts", audit::add);
        Audit.Verdict v = audit.judge();
        if (!whole) {
            List<String> doubts = new java.util.ArrayList<>(v.doubts());
            doubts.add("a ledger was not closed: its last lines may be missing");
            v = new Audit.Verdict(v.tries(), v.runs(), v.breaches(), doubts);
        }
        return new FaultInjectionAudit(v, notOwed[0]);
    }

    /** Whether its process was killed or stood still while it was under way. */
    private static boolean hit(ClientAttempt t, FaultInjectionPlan plan, List<FaultInjectionResult.Done> done) {
        FleetProcess own = plan.serving(t.client());
        for (FaultInjectionResult.Done d : done) {
            InjectedFault f = d.fault();
            boolean halts = f.place() == InjectedFault.Place.PROCESSES
                    && f.kind() != InjectedFault.Kind.TERM
                    && f.on().has(own);
            long from = d.at() * 1_000;
            long until = from + (long) (f.lasts() * 1_000) + AFTER_US;
            if (d.begin() && halts && t.sent() <= until && t.ended() >= from) {
                return true;
            }
        }
        return false;
    }

    private static ClientAttempt abandoned(ClientAttempt t) {
        ClientOutcome o = t.outcome() == ClientOutcome.SERVED
                        || t.outcome() == ClientOutcome.REFUSED && t.ended() <= t.sent() + t.timeout()
                ? t.outcome()
                : ClientOutcome.ABANDONED;
        long ended = o == ClientOutcome.SERVED ? Math.min(t.ended(), t.sent() + t.timeout()) : t.ended();
        return new ClientAttempt(
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
