package rillyard.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rillyard.ledger.ClientTry;
import rillyard.ledger.Ledger;
import rillyard.ledger.LedgerHead;
import rillyard.ledger.LedgerReader;
import rillyard.ledger.UnixClock;
import rillyard.load.LoadPlan;
import rillyard.load.LoadRun;
import rillyard.process.Launch;
import rillyard.process.ProxyProcess;

/**
 * One start of a proxy and its first requests.
 *
 * @param marks wall and CPU time from exec to each mark, ms; empty for a build that says none
 * @param listening to the first connection accepted, as seen from outside
 * @param ready to the first {@code /_health} 200, as seen from outside
 * @param resident memory when ready, KiB
 * @param latencies of the first requests in the order of the schedule, ms, from the instant at
 *     which the schedule had each be sent
 * @param loadCpu what the proxy took for them, ms
 */
record StartRun(
        Map<String, Mark> marks, Mark listening, Mark ready, long resident, double[] latencies, double loadCpu) {
    /** Milliseconds from exec. */
    record Mark(double wall, double cpu) {}

    private static final String MARK = "rillyard: mark ";

    /** Starts one, sends it the plan's requests, and ends it. */
    static StartRun of(Launch launch, Path config, LoadPlan plan, Path folder) throws Exception {
        Path log = folder.resolve("proxy.log");
        Path clients = folder.resolve("clients.jsonl");
        Launch marked = launch.with(List.of("-Drillyard.marks=true"));
        long exec = System.nanoTime();
        try (ProxyProcess p = ProxyProcess.launch(marked, config, ProxyProcess.freeAddress(), log)) {
            p.await(ProxyProcess.State.LISTENING);
            Mark listening = now(exec, p);
            p.await(ProxyProcess.State.READY);
            Mark ready = now(exec, p);
            long resident = p.residentKb();
            try (Ledger ledger = Ledger.open(clients, new LedgerHead("clients", UnixClock.micros(), plan.seed()))) {
                new LoadRun(plan, List.of(p.address()), ledger, null).run();
            }
            double cpu = p.cpu().toNanos() / 1e6 - ready.cpu();
            return new StartRun(marks(log, exec), listening, ready, resident, latencies(clients), cpu);
        }
    }

    private static Mark now(long exec, ProxyProcess p) {
        return new Mark((System.nanoTime() - exec) / 1e6, p.cpu().toNanos() / 1e6);
    }

    private static Map<String, Mark> marks(Path log, long exec) throws IOException {
        Map<String, Mark> marks = new LinkedHashMap<>();
        for (String line : Files.readAllLines(log)) {
            if (line.startsWith(MARK)) {
                String[] f = line.substring(MARK.length()).split(" ");
                marks.put(f[0], new Mark((Long.parseLong(f[1]) - exec) / 1e6, Double.parseDouble(f[2])));
            }
        }
        return marks;
    }

    private static double[] latencies(Path clients) throws Exception {
        List<ClientTry> first = new ArrayList<>();
        LedgerReader.read(clients, "clients", l -> {
            if (l instanceof ClientTry t && t.number() == 0) {
                first.add(t);
            }
        });
        return first.stream()
                .sorted(Comparator.comparingLong(ClientTry::intended))
                .mapToDouble(t -> (t.ended() - t.intended()) / 1e3)
                .toArray();
    }

    /** The quantile over the first n requests, by the nearest rank; NaN if there were fewer. */
    double latency(int n, double quantile) {
        if (latencies.length < n) {
            return Double.NaN;
        }
        double[] sorted = Arrays.copyOf(latencies, n);
        Arrays.sort(sorted);
        return sorted[Math.max(0, (int) Math.ceil(quantile * n) - 1)];
    }
}
