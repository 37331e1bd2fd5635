package rillyard.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import rillyard.requestlog.HostExecution;
import rillyard.requestlog.WatchNotification;

/**
 * Checks that no request reaches a draining or removed host once the grace period is over.
 *
 *
 * <p>A change counts as notified when the last open watch was notified, and at the latest after
 * {@link AuditSettings#maxNotificationDelay}. The request logs do not record which watch the sender of a request had,
 * so that all senders are held to the last notification.
 */
final class DrainingRule {
    /** A period in which a host is draining or removed, in Unix microseconds; {@code notifiedAt} is 0 for never. */
    private static final class Span {
        final long changedAt;
        long notifiedAt;
        long endedAt = Long.MAX_VALUE;

        Span(long changedAt) {
            this.changedAt = changedAt;
        }
    }

    private final Evidence evidence;
    private final AuditSettings settings;

    DrainingRule(Evidence evidence, AuditSettings settings) {
        this.evidence = evidence;
        this.settings = settings;
    }

    void check(Consumer<Violation> violations) {
        spans().forEach((host, spans) -> {
            for (Span span : spans) {
                long latestNotifiedAt = span.changedAt + settings.maxNotificationDelay();
                long notifiedAt = span.notifiedAt == 0 ? latestNotifiedAt : Math.min(latestNotifiedAt, span.notifiedAt);
                check(host, span, notifiedAt + settings.drainGrace() + settings.socketSlack(), notifiedAt, violations);
            }
        });
    }

    private void check(String host, Span span, long graceEndsAt, long notifiedAt, Consumer<Violation> violations) {
        int count = 0;
        HostExecution first = null;
        for (HostExecution execution : evidence.executionsByHost(host)) {
            if (execution.receivedAt() > graceEndsAt && execution.receivedAt() < span.endedAt) {
                first = first == null ? execution : first;
                count++;
            }
        }
        if (first != null) {
            List<String> history = new ArrayList<>();
            for (WatchNotification notification : evidence.notifications) {
                if (notification.host().equals(host)) {
                    history.add((notification.watcher() == 0
                                    ? "discovery has "
                                    : "watch " + notification.watcher() + " is told ")
                            + host + " " + notification.state() + " " + (notification.at() - first.receivedAt()) / 1_000
                            + " ms from the request");
                }
            }
            history.addAll(evidence.history(first.requestId()));
            violations.accept(new Violation(
                    Violation.Rule.DRAIN,
                    first.receivedAt(),
                    "host " + host + " drains or is gone, and got " + count + " requests past the grace, the"
                            + " first, id " + first.requestId() + ", " + (first.receivedAt() - notifiedAt) / 1_000
                            + " ms after that was told",
                    history));
        }
    }

    private Map<String, List<Span>> spans() {
        Map<String, List<Span>> spansByHost = new HashMap<>();
        for (WatchNotification notification : evidence.notifications) {
            List<Span> spans = spansByHost.computeIfAbsent(notification.host(), h -> new ArrayList<>());
            Span last = spans.isEmpty() ? null : spans.get(spans.size() - 1);
            boolean open = last != null && last.endedAt == Long.MAX_VALUE;
            if (notification.state().equals("up")) {
                if (notification.watcher() == 0 && open) {
                    last.endedAt = notification.at();
                }
            } else if (notification.watcher() == 0 && !open) {
                spans.add(new Span(notification.at()));
            } else if (notification.watcher() != 0
                    && open
                    && notification.state().equals("draining")) {
                last.notifiedAt = notification.at();
            } else if (notification.watcher() != 0 && open && last.notifiedAt == 0) {
                last.notifiedAt = notification.at();
            }
        }
        return spansByHost;
    }
}
