package rillyard.audit;

import java.util.List;
import java.util.function.Consumer;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;
import rillyard.requestlog.ExecutionResult;
import rillyard.requestlog.HostExecution;
import rillyard.requestlog.UnexpectedResponse;

/** No request lost: each try that was taken has exactly one final answer, in time, from a host or none. */
final class SingleResponseRule {
    private final Evidence evidence;
    private final AuditSettings settings;

    SingleResponseRule(Evidence evidence, AuditSettings settings) {
        this.evidence = evidence;
        this.settings = settings;
    }

    void check(Consumer<Violation> to) {
        for (List<ClientAttempt> tries : evidence.byRequest().values()) {
            for (int i = 0; i < tries.size(); i++) {
                ClientAttempt t = tries.get(i);
                if (t.number() != i) {
                    to.accept(breach(
                            t,
                            "request " + t.request() + " has two ends of try " + t.number() + ", or none of try " + i));
                }
                check(t, to);
            }
            ClientAttempt last = tries.get(tries.size() - 1);
            if (!last.last()) {
                to.accept(breach(last, "request " + last.request() + " has no final answer in the ledger"));
            }
        }
        for (UnexpectedResponse s : evidence.surplus) {
            to.accept(new Violation(
                    Violation.Rule.ANSWER,
                    s.at(),
                    "more came behind the one answer to id " + s.id(),
                    evidence.history(s.id())));
        }
    }

    private void check(ClientAttempt t, Consumer<Violation> to) {
        ClientOutcome o = t.outcome();
        long due = t.sent() + t.timeout() + settings.answerSlack() + settings.socketSlack();
        if (o.lost()) {
            to.accept(breach(t, "id " + t.id() + " was lost: " + o));
        } else if (answered(o) && t.ended() > due) {
            to.accept(breach(t, "id " + t.id() + " was answered " + (t.ended() - due) / 1_000 + " ms too late: " + o));
        } else if (o == ClientOutcome.SERVED && !made(t.id())) {
            to.accept(breach(t, "id " + t.id() + " was served with what no host made for it"));
        } else if (o == ClientOutcome.STALE && received(t)) {
            to.accept(breach(
                    t, "id " + t.id() + " was taken and passed on, and its connection ended" + " without an answer"));
        }
    }

    private static boolean answered(ClientOutcome o) {
        return o == ClientOutcome.SERVED || o == ClientOutcome.REFUSED || o == ClientOutcome.FAILED;
    }

    private boolean made(String id) {
        for (HostExecution r : evidence.byId(id)) {
            if (r.result() == ExecutionResult.DONE || r.result() == ExecutionResult.REMEMBERED) {
                return true;
            }
        }
        return false;
    }

    private boolean received(ClientAttempt t) {
        return evidence.byId(t.id()).stream()
                .anyMatch(r -> r.received() <= t.ended() && r.result() != ExecutionResult.TURNED_AWAY);
    }

    private Violation breach(ClientAttempt t, String what) {
        return new Violation(Violation.Rule.ANSWER, t.ended(), what, evidence.history(t.id()));
    }
}
