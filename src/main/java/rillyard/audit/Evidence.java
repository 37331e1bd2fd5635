package rillyard.audit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import rillyard.ledger.ClientTry;
import rillyard.ledger.HostNews;
import rillyard.ledger.HostRun;
import rillyard.ledger.LedgerLine;
import rillyard.ledger.Surplus;
import rillyard.ledger.Told;

/** All lines of both ledgers, found by what they are about. Takes some hundred bytes a line. */
final class Evidence {
    final List<ClientTry> tries = new ArrayList<>();
    final List<Surplus> surplus = new ArrayList<>();
    final List<HostRun> runs = new ArrayList<>();
    final List<HostNews> news = new ArrayList<>();
    final List<Told> told = new ArrayList<>();
    private final Map<String, List<HostRun>> runsById = new HashMap<>();
    private final Map<String, List<HostRun>> runsByKey = new HashMap<>();
    private final Map<String, List<HostRun>> runsByHost = new HashMap<>();
    private final Map<Long, List<ClientTry>> triesByRequest = new HashMap<>();
    private final Map<String, Long> requestById = new HashMap<>();

    void add(LedgerLine line) {
        if (line instanceof ClientTry t) {
            tries.add(t);
            triesByRequest.computeIfAbsent(t.request(), k -> new ArrayList<>(1)).add(t);
            requestById.put(t.id(), t.request());
        } else if (line instanceof Surplus s) {
            surplus.add(s);
        } else if (line instanceof HostRun r) {
            runs.add(r);
            put(runsById, r.id(), r);
            put(runsByHost, r.host(), r);
            if (r.key() != null) {
                put(runsByKey, r.type() + "/" + r.key(), r);
            }
        } else if (line instanceof HostNews n) {
            news.add(n);
        } else if (line instanceof Told t) {
            told.add(t);
        }
    }

    /** Puts all in the order of the times: ledgers are in the order of the ends. */
    void sort() {
        Comparator<HostRun> received = Comparator.comparingLong(HostRun::received);
        runs.sort(received);
        runsById.values().forEach(l -> l.sort(received));
        runsByKey.values().forEach(l -> l.sort(received));
        runsByHost.values().forEach(l -> l.sort(received));
        triesByRequest.values().forEach(l -> l.sort(Comparator.comparingInt(ClientTry::number)));
        news.sort(Comparator.comparingLong(HostNews::at));
        told.sort(Comparator.comparingLong(Told::at));
    }

    private static void put(Map<String, List<HostRun>> to, String key, HostRun r) {
        to.computeIfAbsent(key, k -> new ArrayList<>(1)).add(r);
    }

    List<HostRun> byId(String id) {
        return runsById.getOrDefault(id, List.of());
    }

    Map<String, List<HostRun>> byId() {
        return runsById;
    }

    Map<String, List<HostRun>> byKey() {
        return runsByKey;
    }

    List<HostRun> byHost(String host) {
        return runsByHost.getOrDefault(host, List.of());
    }

    Map<Long, List<ClientTry>> byRequest() {
        return triesByRequest;
    }

    /** All that is known of the request that an id belongs to. */
    List<String> history(String id) {
        Long request = requestById.get(id);
        List<ClientTry> of = request == null ? List.of() : triesByRequest.getOrDefault(request, List.of());
        List<HostRun> ran = new ArrayList<>();
        if (of.isEmpty()) {
            ran.addAll(byId(id));
        }
        of.stream().map(ClientTry::id).distinct().forEach(i -> ran.addAll(byId(i)));
        return history(of, ran);
    }

    /** Lines for a reader, in the order of the times, which count in ms from the first. */
    static List<String> history(List<ClientTry> tries, List<HostRun> runs) {
        record At(long at, String text) {}
        List<At> all = new ArrayList<>();
        for (ClientTry t : tries) {
            all.add(new At(
                    t.sent(),
                    "client " + t.client() + " sends try " + t.number() + " of request "
                            + t.request() + " (" + t.type() + "), id " + t.id()
                            + (t.key() == null ? "" : ", key " + t.key())
                            + ", waits " + t.timeout() / 1_000 + " ms"));
            all.add(new At(
                    t.ended(),
                    "client has try " + t.number() + " end: " + t.outcome()
                            + (t.status() == 0 ? "" : " " + t.status())));
        }
        for (HostRun r : runs) {
            all.add(new At(
                    r.received(),
                    "host " + r.host() + " (cell " + r.cell() + ") receives id " + r.id() + ", the " + (r.attempt() + 1)
                            + ". time it comes"));
            if (r.started() != 0) {
                all.add(new At(r.started(), "host " + r.host() + " begins to run it"));
            }
            all.add(new At(r.ended(), "host " + r.host() + " is done with it: " + r.result()));
        }
        all.sort(Comparator.comparingLong(At::at));
        long zero = all.isEmpty() ? 0 : all.get(0).at();
        return all.stream()
                .map(a -> String.format(Locale.ROOT, "%+10.3f ms  %s", (a.at() - zero) / 1_000.0, a.text()))
                .toList();
    }
}
