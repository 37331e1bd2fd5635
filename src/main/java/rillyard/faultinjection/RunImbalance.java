package rillyard.faultinjection;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rillyard.config.InvalidConfigException;
import rillyard.imbalance.HostArrival;
import rillyard.imbalance.HostAvailability;
import rillyard.imbalance.ImbalanceReport;
import rillyard.imbalance.TimelineEvent;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.HostEvent;
import rillyard.requestlog.HostExecution;
import rillyard.requestlog.RequestLogReader;
import rillyard.requestlog.WatchNotification;

/** How evenly the processes of a fault-injection run together loaded the hosts, from both request logs. */
final class RunImbalance {
    private static final long WINDOW_US = 1_000_000;

    private final FaultInjectionPlan plan;
    private final Map<String, Integer> clients = new HashMap<>();
    private final List<HostArrival> arrivals = new ArrayList<>();
    private final List<TimelineEvent> marks = new ArrayList<>();
    private final Map<String, HostEvent> up = new HashMap<>();
    private final HostAvailability times = new HostAvailability();
    private long last;

    private RunImbalance(FaultInjectionPlan plan) {
        this.plan = plan;
    }

    /** Reads them. A host is there from its start until it drains, stops or is killed. */
    static ImbalanceReport of(Path clients, Path hosts, FaultInjectionPlan plan, List<FaultInjectionResult.Done> done)
            throws InvalidConfigException {
        RunImbalance imbalance = new RunImbalance(plan);
        RequestLogReader.read(clients, "clients", line -> {
            if (line instanceof ClientAttempt attempt) {
                imbalance.clients.put(attempt.requestId(), attempt.client());
            }
        });
        RequestLogReader.read(hosts, "hosts", line -> {
            if (line instanceof HostExecution execution) {
                imbalance.arrived(execution);
            } else if (line instanceof HostEvent event) {
                imbalance.heard(event);
            } else if (line instanceof WatchNotification notification && notification.watcher() == 0) {
                imbalance.marks.add(new TimelineEvent(
                        notification.at(),
                        notification.host(),
                        "discovery has " + notification.host() + " " + notification.state()));
            }
        });
        imbalance.up.forEach(
                (host, hostEvent) -> imbalance.times.add(host, hostEvent.capacity(), hostEvent.at(), imbalance.last));
        for (FaultInjectionResult.Done d : done) {
            imbalance.marks.add(
                    new TimelineEvent(d.at() * 1_000, "", d.fault().description() + (d.begin() ? "" : " ends")));
        }
        return ImbalanceReport.of(imbalance.arrivals, imbalance.times, imbalance.marks, WINDOW_US);
    }

    private void arrived(HostExecution execution) {
        last = Math.max(last, execution.receivedAt());
        Integer client = clients.get(execution.requestId());
        String proxy = client == null ? "?" : plan.serving(client).name();
        long waited =
                (execution.startedAt() == 0 ? execution.endedAt() : execution.startedAt()) - execution.receivedAt();
        arrivals.add(new HostArrival(
                execution.receivedAt(),
                execution.host(),
                proxy,
                execution.attempt() == 0,
                waited,
                execution.endedAt() - execution.receivedAt()));
    }

    private void heard(HostEvent event) {
        switch (event.kind()) {
            case STARTED -> up.put(event.host(), event);
            case DRAINING, STOPPED, KILLED -> {
                HostEvent began = up.remove(event.host());
                if (began != null) {
                    times.add(event.host(), began.capacity(), began.at(), event.at());
                }
            }
            default -> {}
        }
        marks.add(new TimelineEvent(
                event.at(),
                event.host(),
                event.host() + " "
                        + (event.detail() == null
                                ? event.kind().name().toLowerCase(java.util.Locale.ROOT)
                                : event.detail())));
    }
}
