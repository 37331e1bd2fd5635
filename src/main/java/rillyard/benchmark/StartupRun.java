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
 * @param marks wall-clock and CPU time from exec to each mark; empty for a build without marks
 * @param listening time to the first accepted connection, as seen from outside
 * @param ready time to the first successful health check, as seen from outside
 * @param residentKib resident memory when ready, in KiB
 * @param latencies latencies of the first requests in milliseconds, in the order of the schedule and from the scheduled
 *     time
 * @param loadCpuMillis CPU time that the proxy used for these requests, in milliseconds
 */
record StartupRun(
        Map<String, Mark> marks,
        Mark listening,
        Mark ready,
        long residentKib,
        double[] latencies,
        double loadCpuMillis) {
    /** Wall-clock and CPU time in milliseconds from exec. */
    record Mark(double wallMillis, double cpuMillis) {}

    private static final String MARK = "rillyard: mark ";

    /** Starts a proxy, sends it the plan's requests, and ends it. */
    static StartupRun of(LaunchCommand launch, Path config, LoadPlan plan, Path folder) throws Exception {
        Path log = folder.resolve("proxy.log");
        Path clients = folder.resolve("clients.jsonl");
        LaunchCommand command = launch.with(List.of("-Drillyard.marks=true"));
        long startNanos = System.nanoTime();
        try (ProxyProcess proxy = ProxyProcess.launch(command, config, ProxyProcess.freeAddress(), log)) {
            proxy.await(ProxyProcess.State.LISTENING);
            Mark listening = elapsed(startNanos, proxy);
            proxy.await(ProxyProcess.State.READY);
            Mark ready = elapsed(startNanos, proxy);
            long residentKib = proxy.residentKb();
            try (RequestLogWriter requestLog =
                    RequestLogWriter.open(clients, new LogHeader("clients", UnixClock.micros(), plan.seed()))) {
                new LoadRun(plan, List.of(proxy.address()), requestLog, null).run();
            }
            double loadCpuMillis = proxy.cpuTime().toNanos() / 1e6 - ready.cpuMillis();
            return new StartupRun(
                    marks(log, startNanos), listening, ready, residentKib, latencies(clients), loadCpuMillis);
        }
    }

    private static Mark elapsed(long startNanos, ProxyProcess proxy) {
        return new Mark((System.nanoTime() - startNanos) / 1e6, proxy.cpuTime().toNanos() / 1e6);
    }

    private static Map<String, Mark> marks(Path log, long startNanos) throws IOException {
        Map<String, Mark> marks = new LinkedHashMap<>();
        for (String line : Files.readAllLines(log)) {
            if (line.startsWith(MARK)) {
                String[] fields = line.substring(MARK.length()).split(" ");
                marks.put(
                        fields[0],
                        new Mark((Long.parseLong(fields[1]) - startNanos) / 1e6, Double.parseDouble(fields[2])));
            }
        }
        return marks;
    }

    private static double[] latencies(Path clients) throws Exception {
        List<ClientAttempt> attempts = new ArrayList<>();
        RequestLogReader.read(clients, "clients", line -> {
            if (line instanceof ClientAttempt attempt && attempt.attemptNumber() == 0) {
                attempts.add(attempt);
            }
        });
        return attempts.stream()
                .sorted(Comparator.comparingLong(ClientAttempt::scheduledAt))
                .mapToDouble(attempt -> (attempt.endedAt() - attempt.scheduledAt()) / 1e3)
                .toArray();
    }

    /**
     * Returns a quantile of the first requests' latencies by the nearest rank, in milliseconds; NaN if there were
     * fewer.
     */
    double latency(int count, double quantile) {
        if (latencies.length < count) {
            return Double.NaN;
        }
        double[] sorted = Arrays.copyOf(latencies, count);
        Arrays.sort(sorted);
        return sorted[Math.max(0, (int) Math.ceil(quantile * count) - 1)];
    }
}
