package rillyard.benchmark;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import rillyard.trace.TraceEvent;

/**
 * Computes statistics of a whole fleet from the traces of its proxies, for effects that no single proxy can see. Keeps
 * all events in memory until they are counted, as logs are merged by time: about 200 bytes each.
 */
public final class FleetTraceStatistics {
    /** The counters of one host, summed over all proxies. */
    static final class HostCount {
        int connects;
        int failedConnects;
        int open;
        int maxOpen;
        int attempts;
        int rejected;
        final List<Long> sendsWhileWarmingUp = new ArrayList<>();

        /** Returns the maximum number of requests sent during warm-up within a window of the given length. */
        int maxSendsWithin(long windowMillis) {
            sendsWhileWarmingUp.sort(Comparator.naturalOrder());
            int most = 0;
            for (int first = 0, last = 0; last < sendsWhileWarmingUp.size(); last++) {
                while (sendsWhileWarmingUp.get(last) - sendsWhileWarmingUp.get(first) >= windowMillis) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
            return most;
        }
    }

    /** Results of attempts that did not reach the host. */
    private static final Set<String> UNSENT = Set.of("CONNECT_FAILED", "MOOT");

    /** A trace event with the proxy that wrote it and its number in reading order. */
    private record ProxyEvent(String proxy, int number, TraceEvent event) {}

    private final long windowMillis;
    private final long warmUpWindowMillis;
    private final List<ProxyEvent> events = new ArrayList<>();
    private final Map<String, HostCount> hosts = new TreeMap<>();
    private final Map<String, Integer> attempts = new TreeMap<>();
    private final Map<String, Integer> rejections = new TreeMap<>();
    private final Map<String, Integer> failures = new TreeMap<>();
    private int proxies;
    private int starts;
    private int listRequests;
    private int tornLines;

    /**
     * Creates empty statistics.
     *
     * @param windowMillis length of a row of the timeline in milliseconds
     * @param warmUpWindowMillis length of the window in milliseconds over which requests to a warming-up host are
     *     counted
     */
    public FleetTraceStatistics(long windowMillis, long warmUpWindowMillis) {
        this.windowMillis = windowMillis;
        this.warmUpWindowMillis = warmUpWindowMillis;
    }

    /**
     * Reads one proxy's log; incomplete lines, as a killed process leaves them, are counted.
     *
     * @param proxy identifies the proxy: its open connections are reset where its log reports a new start
     * @throws IOException if reading fails
     */
    public void read(String proxy, BufferedReader log) throws IOException {
        boolean hasEvents = false;
        String line;
        while ((line = log.readLine()) != null) {
            try {
                TraceEvent event = TraceEvent.parse(line);
                if (event != null) {
                    hasEvents = true;
                    events.add(new ProxyEvent(proxy, events.size(), event));
                }
            } catch (IllegalArgumentException e) {
                tornLines++;
            }
        }
        proxies += hasEvents ? 1 : 0;
    }

    /** Returns whether no trace event was read. */
    public boolean isEmpty() {
        return events.isEmpty();
    }

    /** Computes the counters in the order of time, whatever the order of the logs; must be called once. */
    FleetTraceStatistics sum() {
        events.sort(Comparator.comparingLong(
                        (ProxyEvent proxyEvent) -> proxyEvent.event().unixMillis())
                .thenComparingInt(ProxyEvent::number));
        Map<String, Map<String, Integer>> open = new HashMap<>(); // by proxy, then by host
        for (ProxyEvent proxyEvent : events) {
            TraceEvent event = proxyEvent.event();
            Map<String, Integer> openByHost = open.computeIfAbsent(proxyEvent.proxy(), p -> new HashMap<>());
            switch (event.kind()) {
                case STARTED -> {
                    starts++;
                    openByHost.forEach((hostName, count) -> host(hostName).open -= count);
                    openByHost.clear();
                }
                case CONNECTED -> {
                    HostCount counts = host(event.host());
                    counts.connects++;
                    counts.open++;
                    counts.maxOpen = Math.max(counts.maxOpen, counts.open);
                    openByHost.merge(event.host(), 1, Integer::sum);
                }
                case CONNECT_FAILED -> host(event.host()).failedConnects++;
                case CLOSED -> {
                    host(event.host()).open--;
                    openByHost.merge(event.host(), -1, Integer::sum);
                }
                case ATTEMPT -> addAttempt(event);
                case REFUSED -> rejections.merge(event.detail(), 1, Integer::sum);
                case FAILED -> failures.merge(event.detail(), 1, Integer::sum);
                case LIST -> listRequests++;
            }
        }
        return this;
    }

    private void addAttempt(TraceEvent event) {
        HostCount counts = host(event.host());
        counts.attempts++;
        counts.rejected += event.detail().equals("FULL") ? 1 : 0;
        if (event.warmingUp() && !UNSENT.contains(event.detail())) {
            counts.sendsWhileWarmingUp.add(event.unixMillis() - event.durationMillis());
        }
        attempts.merge(event.detail(), 1, Integer::sum);
    }

    /** Returns the counters of a host, which are created at the first call. */
    HostCount host(String name) {
        return hosts.computeIfAbsent(name, h -> new HostCount());
    }

    /** Returns the number of rejected requests by the result of their last attempt. */
    Map<String, Integer> rejectionsByLastResult() {
        return rejections;
    }

    /** Returns the number of proxy starts. */
    int starts() {
        return starts;
    }

    /** Returns the number of incomplete lines. */
    int tornLines() {
        return tornLines;
    }

    /** Computes and prints the tables, in Markdown. */
    public void print(PrintStream out) {
        sum();
        out.println("| over the fleet | |\n| --- | --- |");
        out.println("| proxies, their starts | " + proxies + ", " + starts + " |");
        out.println("| attempts by result | " + format(attempts) + " |");
        out.println("| refused, by the last attempt's result | " + format(rejections) + " |");
        out.println("| failed, by the last attempt's result | " + format(failures) + " |");
        out.println("| calls for the list | " + listRequests + " |");
        out.println("| torn lines | " + tornLines + " |");
        out.println("\n| of " + hosts.size() + " hosts, each | mean | most |\n| --- | --- | --- |");
        printRow(out, "connections opened", counts -> counts.connects);
        printRow(out, "connects that failed", counts -> counts.failedConnects);
        printRow(out, "open at once", counts -> counts.maxOpen);
        printRow(out, "attempts", counts -> counts.attempts);
        printRow(out, "turned away", counts -> counts.rejected);
        printRow(out, "sends while cold", counts -> counts.sendsWhileWarmingUp.size());
        printRow(
                out,
                "of them within " + warmUpWindowMillis + " ms",
                counts -> counts.maxSendsWithin(warmUpWindowMillis));
        printTimeline(out);
    }

    private void printRow(PrintStream out, String label, ToIntFunction<HostCount> count) {
        out.printf(
                Locale.ROOT,
                "| %s | %.1f | %d |%n",
                label,
                hosts.values().stream().mapToInt(count).average().orElse(0),
                hosts.values().stream().mapToInt(count).max().orElse(0));
    }

    private void printTimeline(PrintStream out) {
        out.println("\n| from, s | attempts | answered | turned away | lost, failed | refused |"
                + "\n| --- | --- | --- | --- | --- | --- |");
        Map<Long, int[]> rows = new TreeMap<>();
        long first = events.isEmpty() ? 0 : events.get(0).event().unixMillis();
        for (ProxyEvent proxyEvent : events) {
            TraceEvent event = proxyEvent.event();
            int[] row = rows.computeIfAbsent((event.unixMillis() - first) / windowMillis, rowNumber -> new int[5]);
            if (event.kind() == TraceEvent.Kind.ATTEMPT) {
                row[0]++;
                switch (event.detail()) {
                    case "OK" -> row[1]++;
                    case "FULL" -> row[2]++;
                    case "CANCELLED", "MOOT" -> {} // abandoned by the proxy, not lost
                    default -> row[3]++;
                }
            } else if (event.kind() == TraceEvent.Kind.REFUSED) {
                row[4]++;
            }
        }
        rows.forEach((rowNumber, counts) -> out.printf(
                Locale.ROOT,
                "| %.1f | %d | %d | %d | %d | %d |%n",
                rowNumber * windowMillis / 1e3,
                counts[0],
                counts[1],
                counts[2],
                counts[3],
                counts[4]));
    }

    private static String format(Map<String, Integer> counts) {
        StringBuilder out = new StringBuilder();
        counts.forEach((result, count) -> out.append(out.isEmpty() ? "" : ", ")
                .append(result.equals(TraceEvent.NONE) ? "none" : result)
                .append(' ')
                .append(count));
        return out.isEmpty() ? "none" : out.toString();
    }
}
