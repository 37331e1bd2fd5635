package rillyard.audit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.HostEvent;
import rillyard.requestlog.HostExecution;
import rillyard.requestlog.LogRecord;
import rillyard.requestlog.UnexpectedResponse;
import rillyard.requestlog.WatchNotification;

/** Indexes the records of both request logs by request, id, key and host; uses some hundred bytes per record. */
final class Evidence {
    final List<ClientAttempt> attempts = new ArrayList<>();
    final List<UnexpectedResponse> unexpectedResponses = new ArrayList<>();
    final List<HostExecution> executions = new ArrayList<>();
    final List<HostEvent> hostEvents = new ArrayList<>();
    final List<WatchNotification> notifications = new ArrayList<>();
    private final Map<String, List<HostExecution>> executionsById = new HashMap<>();
    private final Map<String, List<HostExecution>> executionsByKey = new HashMap<>();
    private final Map<String, List<HostExecution>> executionsByHost = new HashMap<>();
    private final Map<Long, List<ClientAttempt>> attemptsByRequest = new HashMap<>();
    private final Map<String, Long> requestById = new HashMap<>();

    void add(LogRecord logRecord) {
        if (logRecord instanceof ClientAttempt attempt) {
            attempts.add(attempt);
            attemptsByRequest
                    .computeIfAbsent(attempt.request(), k -> new ArrayList<>(1))
                    .add(attempt);
            requestById.put(attempt.requestId(), attempt.request());
        } else if (logRecord instanceof UnexpectedResponse response) {
            unexpectedResponses.add(response);
        } else if (logRecord instanceof HostExecution execution) {
            executions.add(execution);
            put(executionsById, execution.requestId(), execution);
            put(executionsByHost, execution.host(), execution);
            if (execution.idempotencyKey() != null) {
                put(executionsByKey, execution.requestClass() + "/" + execution.idempotencyKey(), execution);
            }
        } else if (logRecord instanceof HostEvent event) {
            hostEvents.add(event);
        } else if (logRecord instanceof WatchNotification notification) {
            notifications.add(notification);
        }
    }

    /** Sorts all records by time, as request logs are in the order in which attempts and executions ended. */
    void sort() {
        Comparator<HostExecution> received = Comparator.comparingLong(HostExecution::receivedAt);
        executions.sort(received);
        executionsById.values().forEach(list -> list.sort(received));
        executionsByKey.values().forEach(list -> list.sort(received));
        executionsByHost.values().forEach(list -> list.sort(received));
        attemptsByRequest.values().forEach(list -> list.sort(Comparator.comparingInt(ClientAttempt::attemptNumber)));
        hostEvents.sort(Comparator.comparingLong(HostEvent::at));
        notifications.sort(Comparator.comparingLong(WatchNotification::at));
    }

    private static void put(Map<String, List<HostExecution>> to, String key, HostExecution execution) {
        to.computeIfAbsent(key, k -> new ArrayList<>(1)).add(execution);
    }

    List<HostExecution> executionsById(String id) {
        return executionsById.getOrDefault(id, List.of());
    }

    Map<String, List<HostExecution>> executionsById() {
        return executionsById;
    }

    Map<String, List<HostExecution>> executionsByKey() {
        return executionsByKey;
    }

    List<HostExecution> executionsByHost(String host) {
        return executionsByHost.getOrDefault(host, List.of());
    }

    Map<Long, List<ClientAttempt>> attemptsByRequest() {
        return attemptsByRequest;
    }

    /** Returns the history of the request with an attempt of this id, over all of the request's attempts. */
    List<String> history(String id) {
        Long request = requestById.get(id);
        List<ClientAttempt> requestAttempts =
                request == null ? List.of() : attemptsByRequest.getOrDefault(request, List.of());
        List<HostExecution> requestExecutions = new ArrayList<>();
        if (requestAttempts.isEmpty()) {
            requestExecutions.addAll(executionsById(id));
        }
        requestAttempts.stream()
                .map(ClientAttempt::requestId)
                .distinct()
                .forEach(requestId -> requestExecutions.addAll(executionsById(requestId)));
        return history(requestAttempts, requestExecutions);
    }

    /** Returns a history for a human reader, one line per event, with times in milliseconds from the first event. */
    static List<String> history(List<ClientAttempt> attempts, List<HostExecution> executions) {
        record TimedEvent(long atMicros, String text) {}
        List<TimedEvent> events = new ArrayList<>();
        for (ClientAttempt attempt : attempts) {
            events.add(new TimedEvent(
                    attempt.sentAt(),
                    "client " + attempt.client() + " sends attempt " + attempt.attemptNumber() + " of request "
                            + attempt.request() + " (" + attempt.requestClass() + "), id " + attempt.requestId()
                            + (attempt.idempotencyKey() == null ? "" : ", key " + attempt.idempotencyKey())
                            + ", timeout " + attempt.timeoutMicros() / 1_000 + " ms"));
            events.add(new TimedEvent(
                    attempt.endedAt(),
                    "client attempt " + attempt.attemptNumber() + " ended: " + attempt.outcome()
                            + (attempt.status() == 0 ? "" : " " + attempt.status())));
        }
        for (HostExecution execution : executions) {
            events.add(new TimedEvent(
                    execution.receivedAt(),
                    "host " + execution.host() + " (cell " + execution.cell() + ") receives id " + execution.requestId()
                            + " (delivery " + (execution.attempt() + 1) + ")"));
            if (execution.startedAt() != 0) {
                events.add(new TimedEvent(execution.startedAt(), "host " + execution.host() + " starts to execute it"));
            }
            events.add(new TimedEvent(
                    execution.endedAt(), "host " + execution.host() + " finished it: " + execution.result()));
        }
        events.sort(Comparator.comparingLong(TimedEvent::atMicros));
        long firstMicros = events.isEmpty() ? 0 : events.get(0).atMicros();
        return events.stream()
                .map(event -> String.format(
                        Locale.ROOT, "%+10.3f ms  %s", (event.atMicros() - firstMicros) / 1_000.0, event.text()))
                .toList();
    }
}
