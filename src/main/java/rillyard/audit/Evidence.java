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

/** All lines of both ledgers, found by what they are about. Takes some hundred bytes a line. */
final class Evidence {
    final List<ClientAttempt> tries = new ArrayList<>();
    final List<UnexpectedResponse> surplus = new ArrayList<>();
    final List<HostExecution> runs = new ArrayList<>();
    final List<HostEvent> news = new ArrayList<>();
    final List<WatchNotification> told = new ArrayList<>();
    private final Map<String, List<HostExecution>> runsById = new HashMap<>();
    private final Map<String, List<HostExecution>> runsByKey = new HashMap<>();
    private final Map<String, List<HostExecution>> runsByHost = new HashMap<>();
    private final Map<Long, List<ClientAttempt>> triesByRequest = new HashMap<>();
    private final Map<String, Long> requestById = new HashMap<>();

    void add(LogRecord line) {
        if (line instanceof ClientAttempt attempt) {
            tries.add(attempt);
            triesByRequest
                    .computeIfAbsent(attempt.request(), k -> new ArrayList<>(1))
                    .add(attempt);
            requestById.put(attempt.id(), attempt.request());
        } else if (line instanceof UnexpectedResponse response) {
            surplus.add(response);
        } else if (line instanceof HostExecution execution) {
            runs.add(execution);
            put(runsById, execution.id(), execution);
            put(runsByHost, execution.host(), execution);
            if (execution.key() != null) {
                put(runsByKey, execution.requestClass() + "/" + execution.key(), execution);
            }
        } else if (line instanceof HostEvent event) {
            news.add(event);
        } else if (line instanceof WatchNotification notification) {
            told.add(notification);
        }
    }

    /** Puts all in the order of the times: ledgers are in the order of the ends. */
    void sort() {
        Comparator<HostExecution> received = Comparator.comparingLong(HostExecution::received);
        runs.sort(received);
        runsById.values().forEach(l -> l.sort(received));
        runsByKey.values().forEach(l -> l.sort(received));
        runsByHost.values().forEach(l -> l.sort(received));
        triesByRequest.values().forEach(l -> l.sort(Comparator.comparingInt(ClientAttempt::number)));
        news.sort(Comparator.comparingLong(HostEvent::at));
        told.sort(Comparator.comparingLong(WatchNotification::at));
    }

    private static void put(Map<String, List<HostExecution>> to, String key, HostExecution execution) {
        to.computeIfAbsent(key, k -> new ArrayList<>(1)).add(execution);
    }

    List<HostExecution> byId(String id) {
        return runsById.getOrDefault(id, List.of());
    }

    Map<String, List<HostExecution>> byId() {
        return runsById;
    }

    Map<String, List<HostExecution>> byKey() {
        return runsByKey;
    }

    List<HostExecution> byHost(String host) {
        return runsByHost.getOrDefault(host, List.of());
    }

    Map<Long, List<ClientAttempt>> byRequest() {
        return triesByRequest;
    }

    /** All that is known of the request that an id belongs to. */
    List<String> history(String id) {
        Long request = requestById.get(id);
        List<ClientAttempt> of = request == null ? List.of() : triesByRequest.getOrDefault(request, List.of());
        List<HostExecution> ran = new ArrayList<>();
        if (of.isEmpty()) {
            ran.addAll(byId(id));
        }
        of.stream().map(ClientAttempt::id).distinct().forEach(i -> ran.addAll(byId(i)));
        return history(of, ran);
    }

    /** Lines for a reader, in the order of the times, which count in ms from the first. */
    static List<String> history(List<ClientAttempt> tries, List<HostExecution> runs) {
        record At(long at, String text) {}
        List<At> all = new ArrayList<>();
        for (ClientAttempt attempt : tries) {
            all.add(new At(
                    attempt.sent(),
                    "client " + attempt.client() + " sends try " + attempt.number() + " of request "
                            + attempt.request() + " (" + attempt.requestClass() + "), id " + attempt.id()
                            + (attempt.key() == null ? "" : ", key " + attempt.key())
                            + ", waits " + attempt.timeout() / 1_000 + " ms"));
            all.add(new At(
                    attempt.ended(),
                    "client has try " + attempt.number() + " end: " + attempt.outcome()
                            + (attempt.status() == 0 ? "" : " " + attempt.status())));
        }
        for (HostExecution execution : runs) {
            all.add(new At(
                    execution.received(),
                    "host " + execution.host() + " (cell " + execution.cell() + ") receives id " + execution.id()
                            + ", the " + (execution.attempt() + 1) + ". time it comes"));
            if (execution.started() != 0) {
                all.add(new At(execution.started(), "host " + execution.host() + " begins to run it"));
            }
            all.add(new At(execution.ended(), "host " + execution.host() + " is done with it: " + execution.result()));
        }
        all.sort(Comparator.comparingLong(At::at));
        long zero = all.isEmpty() ? 0 : all.get(0).at();
        return all.stream()
                .map(a -> String.format(Locale.ROOT, "%+10.3f ms  %s", (a.at() - zero) / 1_000.0, a.text()))
                .toList();
    }
}
