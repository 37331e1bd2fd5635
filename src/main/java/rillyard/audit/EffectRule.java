package rillyard.audit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import rillyard.ledger.ClientTry;
import rillyard.ledger.HostRun;
import rillyard.ledger.Outcome;

/** No effect twice, and none refused that may have run. */
final class EffectRule {
    private final Evidence evidence;
    private final AuditSettings settings;

    EffectRule(Evidence evidence, AuditSettings settings) {
        this.evidence = evidence;
        this.settings = settings;
    }

    void check(Consumer<Breach> to) {
        Set<String> seen = new HashSet<>();
        for (List<ClientTry> tries : evidence.byRequest().values()) {
            List<HostRun> ran = new ArrayList<>();
            Set<String> ids = new HashSet<>();
            for (ClientTry t : tries) {
                if (ids.add(t.id())) {
                    evidence.byId(t.id()).stream().filter(HostRun::mayHaveRun).forEach(ran::add);
                }
                checkRefusal(t, to);
            }
            seen.addAll(ids);
            once(tries.get(0).type(), "request " + tries.get(0).request(), ran, to);
        }
        evidence.byId().forEach((id, runs) -> {
            if (!seen.contains(id)) { // a client that keeps no ledger sent it
                once(
                        runs.get(0).type(),
                        "id " + id,
                        runs.stream().filter(HostRun::mayHaveRun).toList(),
                        to);
            }
        });
        evidence.byKey().forEach((key, runs) -> {
            List<HostRun> effects = runs.stream().filter(HostRun::effect).toList();
            if (effects.size() > 1) {
                HostRun second = effects.get(1);
                to.accept(new Breach(
                        Breach.Rule.EFFECT,
                        second.received(),
                        "key " + second.key() + " had its effect " + effects.size() + " times",
                        evidence.history(second.id())));
            }
        });
    }

    private void once(String type, String what, List<HostRun> ran, Consumer<Breach> to) {
        if (ran.size() > 1 && settings.type(type).semantics() == AuditSettings.Semantics.AT_MOST_ONCE) {
            HostRun second = ran.get(1);
            to.accept(new Breach(
                    Breach.Rule.EFFECT,
                    second.received(),
                    what + " of " + type + " may have run " + ran.size() + " times",
                    evidence.history(second.id())));
        }
    }

    private void checkRefusal(ClientTry t, Consumer<Breach> to) {
        AuditSettings.RequestClass c = settings.type(t.type());
        boolean harmless = c.semantics() == AuditSettings.Semantics.IDEMPOTENT
                || (c.semantics() == AuditSettings.Semantics.DEDUPLICATED && c.scope() == AuditSettings.Scope.ALL);
        if (t.outcome() != Outcome.REFUSED || harmless) {
            return;
        }
        for (HostRun r : evidence.byId(t.id())) {
            if (r.mayHaveRun()) {
                to.accept(new Breach(
                        Breach.Rule.EFFECT,
                        t.ended(),
                        "id " + t.id() + " of " + t.type() + " was refused and may have run at " + r.host(),
                        evidence.history(t.id())));
                return;
            }
        }
    }
}
