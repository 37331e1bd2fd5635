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

/** How evenly the processes of a trial together loaded the hosts, from both ledgers. */
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
        RunImbalance s = new RunImbalance(plan);
        RequestLogReader.read(clients, "clients", line -> {
            if (line instanceof ClientAttempt t) {
                s.clients.put(t.id(), t.client());
            }
        });
        RequestLogReader.read(hosts, "hosts", line -> {
            if (line instanceof HostExecution r) {
                s.arrived(r);
            } else if (line instanceof HostEvent n) {
                s.heard(n);
            } else if (line instanceof WatchNotification t && t.watcher() == 0) {
                s.marks.add(new TimelineEvent(t.at(), t.host(), "discovery has " + t.host() + " " + t.state()));
            }
        });
        s.up.forEach((host, n) -> s.times.add(host, n.capacity(), n.at(), s.last));
        for (FaultInjectionResult.Done d : done) {
            s.marks.add(new TimelineEvent(d.at() * 1_000, "", d.fault().words() + (d.begin() ? "" : " ends")));
        }
        return ImbalanceReport.of(s.arrivals, s.times, s.marks, WINDOW_US);
    }

    private void arrived(HostExecution r) {
        last = Math.max(last, r.received());
        Integer client = clients.get(r.id());
        String proxy = client == null ? "?" : plan.serving(client).name();
        long waited = (r.started() == 0 ? r.ended() : r.started()) - r.received();
        arrivals.add(
                new HostArrival(r.received(), r.host(), proxy, r.attempt() == 0, waited, r.ended() - r.received()));
    }

    private void heard(HostEvent n) {
        switch (n.what()) {
            case STARTED -> up.put(n.host(), n);
            case DRAINING, STOPPED, KILLED -> {
                HostEvent began = up.remove(n.host());
                if (began != null) {
                    times.add(n.host(), began.capacity(), began.at(), n.at());
                }
            }
            default -> {}
        }
        marks.add(new TimelineEvent(
                n.at(),
                n.host(),
                n.host() + " "
                        + (n.detail() == null ? n.what().name().toLowerCase(java.util.Locale.ROOT) : n.detail())));
    }
}
