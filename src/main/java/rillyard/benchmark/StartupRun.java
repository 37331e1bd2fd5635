package rillyard.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rillyard.childprocess.LaunchCommand;
import rillyard.childprocess.ProxyProcess;
import rillyard.loadgen.LoadPlan;
import rillyard.loadgen.LoadRun;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.LogHeader;
import rillyard.requestlog.RequestLogReader;
import rillyard.requestlog.RequestLogWriter;
import rillyard.requestlog.UnixClock;

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
record StartupRun(
        Map<String, Mark> marks, Mark listening, Mark ready, long resident, double[] latencies, double loadCpu) {
    /** Milliseconds from exec. */
    record Mark(double wall, double cpu) {}

    private static final String MARK = "rillyard: mark ";

    /** Starts one, sends it the plan's requests, and ends it. */
    static StartupRun of(LaunchCommand launch, Path config, LoadPlan plan, Path folder) throws Exception {
        Path log = folder.resolve("proxy.log");
        Path clients = folder.resolve("clients.jsonl");
        LaunchCommand marked = launch.with(List.of("-Drillyard.marks=true"));
        long exec = System.nanoTime();
        try (ProxyProcess proxy = ProxyProcess.launch(marked, config, ProxyProcess.freeAddress(), log)) {
            proxy.await(ProxyProcess.State.LISTENING);
            Mark listening = now(exec, proxy);
            proxy.await(ProxyProcess.State.READY);
            Mark ready = now(exec, proxy);
            long resident = proxy.residentKb();
            try (RequestLogWriter requestLog =
                    RequestLogWriter.open(clients, new LogHeader("clients", UnixClock.micros(), plan.seed()))) {
                new LoadRun(plan, List.of(proxy.address()), requestLog, null).run();
            }
            double cpu = proxy.cpuTime().toNanos() / 1e6 - ready.cpu();
            return new StartupRun(marks(log, exec), listening, ready, resident, latencies(clients), cpu);
        }
    }

    private static Mark now(long exec, ProxyProcess proxy) {
        return new Mark((System.nanoTime() - exec) / 1e6, proxy.cpuTime().toNanos() / 1e6);
    }

    private static Map<String, Mark> marks(Path log, long exec) throws IOException {
        Map<String, Mark> marks = new LinkedHashMap<>();
        for (String line : Files.readAllLines(log)) {
            if (line.startsWith(MARK)) {
                String[] fields = line.substring(MARK.length()).split(" ");
                marks.put(fields[0], new Mark((Long.parseLong(fields[1]) - exec) / 1e6, Double.parseDouble(fields[2])));
            }
        }
        return marks;
    }

    private static double[] latencies(Path clients) throws Exception {
        List<ClientAttempt> first = new ArrayList<>();
        RequestLogReader.read(clients, "clients", line -> {
            if (line instanceof ClientAttempt attempt && attempt.attemptNumber() == 0) {
                first.add(attempt);
            }
        });
        return first.stream()
                .sorted(Comparator.comparingLong(ClientAttempt::scheduledAt))
                .mapToDouble(clientAttempt -> (clientAttempt.endedAt() - clientAttempt.scheduledAt()) / 1e3)
                .toArray();
    }

    /** The quantile over the first n requests, by the nearest rank; NaN if there were fewer. */
    double latency(int count, double quantile) {
        if (latencies.length < count) {
            return Double.NaN;
        }
        double[] sorted = Arrays.copyOf(latencies, count);
        Arrays.sort(sorted);
        return sorted[Math.max(0, (int) Math.ceil(quantile * count) - 1)];
    }
}
