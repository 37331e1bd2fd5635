package rillyard.audit;

import java.util.List;
import java.util.function.Consumer;
import rillyard.ledger.ClientTry;
import rillyard.ledger.HostRun;
import rillyard.ledger.Outcome;
import rillyard.ledger.RunResult;
import rillyard.ledger.Surplus;

/** No request lost: each try that was taken has exactly one final answer, in time, from a host or none. */
final class AnswerRule {
    private final Evidence evidence;
    private final AuditSettings settings;

    AnswerRule(Evidence evidence, AuditSettings settings) {
        this.evidence = evidence;
        this.settings = settings;
    }

    void check(Consumer<Breach> to) {
        for (List<ClientTry> tries : evidence.byRequest().values()) {
            for (int i = 0; i < tries.size(); i++) {
                ClientTry t = tries.get(i);
                if (t.number() != i) {
                    to.accept(breach(
                            t,
                            "request " + t.request() + " has two ends of try " + t.number() + ", or none of try " + i));
                }
                check(t, to);
            }
            ClientTry last = tries.get(tries.size() - 1);
            if (!last.last()) {
                to.accept(breach(last, "request " + last.request() + " has no final answer in the ledger"));
            }
        }
        for (Surplus s : evidence.surplus) {
            to.accept(new Breach(
                    Breach.Rule.ANSWER,
                    s.at(),
                    "more came behind the one answer to id " + s.id(),
                    evidence.history(s.id())));
        }
    }

    private void check(ClientTry t, Consumer<Breach> to) {
        Outcome o = t.outcome();
        long due = t.sent() + t.timeout() + settings.answerSlack() + settings.socketSlack();
        if (o.lost()) {
            to.accept(breach(t, "id " + t.id() + " was lost: " + o));
        } else if (answered(o) && t.ended() > due) {
            to.accept(breach(t, "id " + t.id() + " was answered " + (t.ended() - due) / 1_000 + " ms too late: " + o));
        } else if (o == Outcome.SERVED && !made(t.id())) {
            to.accept(breach(t, "id " + t.id() + " was served with what no host made for it"));
        } else if (o == Outcome.STALE && received(t)) {
            to.accept(breach(
                    t, "id " + t.id() + " was taken and passed on, and its connection ended" + " without an answer"));
        }
    }

    private static boolean answered(Outcome o) {
        return o == Outcome.SERVED || o == Outcome.REFUSED || o == Outcome.FAILED;
    }

    private boolean made(String id) {
        for (HostRun r : evidence.byId(id)) {
            if (r.result() == RunResult.DONE || r.result() == RunResult.REMEMBERED) {
                return true;
            }
        }
        return false;
    }

    private boolean received(ClientTry t) {
        return evidence.byId(t.id()).stream()
                .anyMatch(r -> r.received() <= t.ended() && r.result() != RunResult.TURNED_AWAY);
    }

    private Breach breach(ClientTry t, String what) {
        return new Breach(Breach.Rule.ANSWER, t.ended(), what, evidence.history(t.id()));
    }
}
