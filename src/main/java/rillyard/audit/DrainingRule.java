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
 * <p>A change counts as notified when the last open watch was notified, and at the latest after
 * {@link AuditSettings#maxNotificationDelayMicros}. The request logs do not record which watch the sender of a request
 * had, so that the last notification counts for all senders.
 */
final class DrainingRule {
    /** A period in which a host is draining or removed, in Unix time; {@code notifiedAtMicros} is 0 for never. */
    private static final class DrainPeriod {
        final long changedAtMicros;
        long notifiedAtMicros;
        long endedAtMicros = Long.MAX_VALUE;

        DrainPeriod(long changedAtMicros) {
            this.changedAtMicros = changedAtMicros;
        }
    }

    private final Evidence evidence;
    private final AuditSettings settings;

    DrainingRule(Evidence evidence, AuditSettings settings) {
        this.evidence = evidence;
        this.settings = settings;
    }

    void check(Consumer<Violation> violations) {
        drainPeriods().forEach((host, periods) -> {
            for (DrainPeriod period : periods) {
                long latestNotifiedAtMicros = period.changedAtMicros + settings.maxNotificationDelayMicros();
                long notifiedAtMicros = period.notifiedAtMicros == 0
                        ? latestNotifiedAtMicros
                        : Math.min(latestNotifiedAtMicros, period.notifiedAtMicros);
                check(
                        host,
                        period,
                        notifiedAtMicros + settings.drainGraceMicros() + settings.socketSlackMicros(),
                        notifiedAtMicros,
                        violations);
            }
        });
    }

    private void check(
            String host,
            DrainPeriod period,
            long graceEndsAtMicros,
            long notifiedAtMicros,
            Consumer<Violation> violations) {
        int count = 0;
        HostExecution first = null;
        for (HostExecution execution : evidence.executionsByHost(host)) {
            if (execution.receivedAt() > graceEndsAtMicros && execution.receivedAt() < period.endedAtMicros) {
                first = first == null ? execution : first;
                count++;
            }
        }
        if (first != null) {
            List<String> history = new ArrayList<>();
            for (WatchNotification notification : evidence.notifications) {
                if (notification.host().equals(host)) {
                    history.add((notification.watcher() == 0
                                    ? "discovery changed: "
                                    : "watch " + notification.watcher() + " was notified: ")
                            + host + " " + notification.state() + " at "
                            + (notification.at() - first.receivedAt()) / 1_000 + " ms relative to the request");
                }
            }
            history.addAll(evidence.history(first.requestId()));
            violations.accept(new Violation(
                    Violation.Rule.DRAIN,
                    first.receivedAt(),
                    "host " + host + " is draining or removed, and received " + count
                            + " requests after the grace period, the"
                            + " first, id " + first.requestId() + ", " + (first.receivedAt() - notifiedAtMicros) / 1_000
                            + " ms after the notification",
                    history));
        }
    }

    private Map<String, List<DrainPeriod>> drainPeriods() {
        Map<String, List<DrainPeriod>> periodsByHost = new HashMap<>();
        for (WatchNotification notification : evidence.notifications) {
            List<DrainPeriod> periods = periodsByHost.computeIfAbsent(notification.host(), h -> new ArrayList<>());
            DrainPeriod last = periods.isEmpty() ? null : periods.get(periods.size() - 1);
            boolean open = last != null && last.endedAtMicros == Long.MAX_VALUE;
            if (notification.state().equals("up")) {
                if (notification.watcher() == 0 && open) {
                    last.endedAtMicros = notification.at();
                }
            } else if (notification.watcher() == 0 && !open) {
                periods.add(new DrainPeriod(notification.at()));
            } else if (notification.watcher() != 0
                    && open
                    && notification.state().equals("draining")) {
                last.notifiedAtMicros = notification.at();
            } else if (notification.watcher() != 0 && open && last.notifiedAtMicros == 0) {
                last.notifiedAtMicros = notification.at();
            }
        }
        return periodsByHost;
    }
}
