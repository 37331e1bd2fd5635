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

/** Indexes the records of both request logs by what they concern. Needs some hundred bytes of memory a record. */
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
        executionsById.values().forEach(l -> l.sort(received));
        executionsByKey.values().forEach(l -> l.sort(received));
        executionsByHost.values().forEach(l -> l.sort(received));
        attemptsByRequest.values().forEach(l -> l.sort(Comparator.comparingInt(ClientAttempt::attemptNumber)));
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

    /** Returns the history of the request that an id belongs to, over all of its attempts. */
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
        record At(long at, String text) {}
        List<At> entries = new ArrayList<>();
        for (ClientAttempt attempt : attempts) {
            entries.add(new At(
                    attempt.sentAt(),
                    "client " + attempt.client() + " sends try " + attempt.attemptNumber() + " of request "
                            + attempt.request() + " (" + attempt.requestClass() + "), id " + attempt.requestId()
                            + (attempt.idempotencyKey() == null ? "" : ", key " + attempt.idempotencyKey())
                            + ", waits " + attempt.timeoutMicros() / 1_000 + " ms"));
            entries.add(new At(
                    attempt.endedAt(),
                    "client has try " + attempt.attemptNumber() + " end: " + attempt.outcome()
                            + (attempt.status() == 0 ? "" : " " + attempt.status())));
        }
        for (HostExecution execution : executions) {
            entries.add(new At(
                    execution.receivedAt(),
                    "host " + execution.host() + " (cell " + execution.cell() + ") receives id " + execution.requestId()
                            + ", the " + (execution.attempt() + 1) + ". time it comes"));
            if (execution.startedAt() != 0) {
                entries.add(new At(execution.startedAt(), "host " + execution.host() + " begins to run it"));
            }
            entries.add(new At(
                    execution.endedAt(), "host " + execution.host() + " is done with it: " + execution.result()));
        }
        entries.sort(Comparator.comparingLong(At::at));
        long firstMicros = entries.isEmpty() ? 0 : entries.get(0).at();
        return entries.stream()
                .map(entry -> String.format(
                        Locale.ROOT, "%+10.3f ms  %s", (entry.at() - firstMicros) / 1_000.0, entry.text()))
                .toList();
    }
}
