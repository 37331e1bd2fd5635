package rillyard.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import rillyard.requestlog.HostExecution;
import rillyard.requestlog.WatchNotification;

/**
 * Nothing new to a host that drains or is gone, past the grace. A change counts as told when the
 * last watch that was open has been told, and at the latest after its time: the ledgers don't say
 * which watch a request's sender had, so the latest is what all of them are held to.
 */
final class DrainingRule {
    private static final class Span {
        final long changed;
        long told;
        long until = Long.MAX_VALUE;

        Span(long changed) {
            this.changed = changed;
        }
    }

    private final Evidence evidence;
    private final AuditSettings settings;

    DrainingRule(Evidence evidence, AuditSettings settings) {
        this.evidence = evidence;
        this.settings = settings;
    }

    void check(Consumer<Violation> to) {
        spans().forEach((host, spans) -> {
            for (Span s : spans) {
                long counted = s.changed + settings.toldAtLatest();
                long told = s.told == 0 ? counted : Math.min(counted, s.told);
                check(host, s, told + settings.drainGrace() + settings.socketSlack(), told, to);
            }
        });
    }

    private void check(String host, Span s, long from, long told, Consumer<Violation> to) {
        int count = 0;
        HostExecution first = null;
        for (HostExecution r : evidence.byHost(host)) {
            if (r.received() > from && r.received() < s.until) {
                first = first == null ? r : first;
                count++;
            }
        }
        if (first != null) {
            List<String> history = new ArrayList<>();
            for (WatchNotification t : evidence.told) {
                if (t.host().equals(host)) {
                    history.add((t.watcher() == 0 ? "discovery has " : "watch " + t.watcher() + " is told ")
                            + host + " " + t.state() + " " + (t.at() - first.received()) / 1_000
                            + " ms from the request");
                }
            }
            history.addAll(evidence.history(first.id()));
            to.accept(new Violation(
                    Violation.Rule.DRAIN,
                    first.received(),
                    "host " + host + " drains or is gone, and got " + count + " requests past the grace, the"
                            + " first, id " + first.id() + ", " + (first.received() - told) / 1_000
                            + " ms after that was told",
                    history));
        }
    }

    private Map<String, List<Span>> spans() {
        Map<String, List<Span>> all = new HashMap<>();
        for (WatchNotification t : evidence.told) {
            List<Span> spans = all.computeIfAbsent(t.host(), h -> new ArrayList<>());
            Span last = spans.isEmpty() ? null : spans.get(spans.size() - 1);
            boolean open = last != null && last.until == Long.MAX_VALUE;
            if (t.state().equals("up")) {
                if (t.watcher() == 0 && open) {
                    last.until = t.at();
                }
            } else if (t.watcher() == 0 && !open) {
                spans.add(new Span(t.at()));
            } else if (t.watcher() != 0 && open && t.state().equals("draining")) {
                last.told = t.at();
            } else if (t.watcher() != 0 && open && last.told == 0) {
                last.told = t.at();
            }
        }
        return all;
    }
}
