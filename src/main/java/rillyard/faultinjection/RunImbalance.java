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

/** Computes from both request logs how evenly the processes of a fault-injection run loaded the hosts. */
final class RunImbalance {
    private static final long WINDOW_MICROS = 1_000_000;

    private final FaultInjectionPlan plan;
    private final Map<String, Integer> clientByRequestId = new HashMap<>();
    private final List<HostArrival> arrivals = new ArrayList<>();
    private final List<TimelineEvent> events = new ArrayList<>();
    private final Map<String, HostEvent> startEvents = new HashMap<>();
    private final HostAvailability availability = new HostAvailability();
    private long lastMicros;

    private RunImbalance(FaultInjectionPlan plan) {
        this.plan = plan;
    }

    /**
     * Reads both logs and returns the report. A host counts as available from its start until it drains, stops or is
     * killed.
     */
    static ImbalanceReport of(
            Path clients, Path hosts, FaultInjectionPlan plan, List<FaultInjectionResult.ExecutedStep> executedSteps)
            throws InvalidConfigException {
        RunImbalance imbalance = new RunImbalance(plan);
        RequestLogReader.read(clients, "clients", logRecord -> {
            if (logRecord instanceof ClientAttempt attempt) {
                imbalance.clientByRequestId.put(attempt.requestId(), attempt.client());
            }
        });
        RequestLogReader.read(hosts, "hosts", logRecord -> {
            if (logRecord instanceof HostExecution execution) {
                imbalance.addArrival(execution);
            } else if (logRecord instanceof HostEvent event) {
                imbalance.addHostEvent(event);
            } else if (logRecord instanceof WatchNotification notification && notification.watcher() == 0) {
                imbalance.events.add(new TimelineEvent(
                        notification.at(),
                        notification.host(),
                        "discovery has " + notification.host() + " " + notification.state()));
            }
        });
        imbalance.startEvents.forEach((host, hostEvent) ->
                imbalance.availability.add(host, hostEvent.capacity(), hostEvent.at(), imbalance.lastMicros));
        for (FaultInjectionResult.ExecutedStep step : executedSteps) {
            imbalance.events.add(new TimelineEvent(
                    step.at() * 1_000, "", step.fault().description() + (step.begins() ? "" : " ends")));
        }
        return ImbalanceReport.of(imbalance.arrivals, imbalance.availability, imbalance.events, WINDOW_MICROS);
    }

    private void addArrival(HostExecution execution) {
        lastMicros = Math.max(lastMicros, execution.receivedAt());
        Integer client = clientByRequestId.get(execution.requestId());
        String proxy = client == null ? "?" : plan.servingProcess(client).name();
        long queuedMicros =
                (execution.startedAt() == 0 ? execution.endedAt() : execution.startedAt()) - execution.receivedAt();
        arrivals.add(new HostArrival(
                execution.receivedAt(),
                execution.host(),
                proxy,
                execution.attempt() == 0,
                queuedMicros,
                execution.endedAt() - execution.receivedAt()));
    }

    private void addHostEvent(HostEvent event) {
        switch (event.kind()) {
            case STARTED -> startEvents.put(event.host(), event);
            case DRAINING, STOPPED, KILLED -> {
                HostEvent start = startEvents.remove(event.host());
                if (start != null) {
                    availability.add(event.host(), start.capacity(), start.at(), event.at());
                }
            }
            default -> {}
        }
        events.add(new TimelineEvent(
                event.at(),
                event.host(),
                event.host() + " "
                        + (event.detail() == null
                                ? event.kind().name().toLowerCase(java.util.Locale.ROOT)
                                : event.detail())));
    }
}
