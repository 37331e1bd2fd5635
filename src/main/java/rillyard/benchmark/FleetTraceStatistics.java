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
 * Counts over a whole fleet what its proxies' traces tell; what one proxy does is seen there only. Keeps
 * every line until it has been counted, as logs are put together by time: some 200 bytes for each.
 */
public final class FleetTraceStatistics {
    /** What the proxies together did to one host. */
    static final class HostCount {
        int connects;
        int failedConnects;
        int open;
        int maxOpen;
        int attempts;
        int rejected;
        final List<Long> sendsWhileWarmingUp = new ArrayList<>();

        /** The most that it was sent while cold within any stretch of so many ms. */
        int mostCold(long stretch) {
            sendsWhileWarmingUp.sort(Comparator.naturalOrder());
            int most = 0;
            for (int first = 0, last = 0; last < sendsWhileWarmingUp.size(); last++) {
                while (sendsWhileWarmingUp.get(last) - sendsWhileWarmingUp.get(first) >= stretch) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
            return most;
        }
    }

    /** Results of attempts of which nothing came to the host. */
    private static final Set<String> UNSENT = Set.of("CONNECT_FAILED", "MOOT");

    private record Told(String proxy, int number, TraceEvent line) {}

    private final long window;
    private final long coldWindow;
    private final List<Told> events = new ArrayList<>();
    private final Map<String, HostCount> hosts = new TreeMap<>();
    private final Map<String, Integer> attempts = new TreeMap<>();
    private final Map<String, Integer> refused = new TreeMap<>();
    private final Map<String, Integer> failed = new TreeMap<>();
    private int proxies;
    private int starts;
    private int lists;
    private int torn;

    /**
     * Starts with nothing.
     *
     * @param window the length (ms) of a row of the fault schedule
     * @param coldWindow the stretch (ms) over which work at a warming-up host is summed
     */
    public FleetTraceStatistics(long window, long coldWindow) {
        this.window = window;
        this.coldWindow = coldWindow;
    }

    /**
     * Takes in one proxy's log; lines that a killed process left torn are counted.
     *
     * @param proxy tells it from all others: what it had open ends where its log says that it started anew
     * @throws IOException what reading throws
     */
    public void read(String proxy, BufferedReader log) throws IOException {
        boolean any = false;
        String line;
        while ((line = log.readLine()) != null) {
            try {
                TraceEvent event = TraceEvent.parse(line);
                if (event != null) {
                    any = true;
                    events.add(new Told(proxy, events.size(), event));
                }
            } catch (IllegalArgumentException e) {
                torn++;
            }
        }
        proxies += any ? 1 : 0;
    }

    /** Whether any trace was found. */
    public boolean empty() {
        return events.isEmpty();
    }

    /** Sums up in the order of time, whatever the order of the logs; to be called once. */
    FleetTraceStatistics sum() {
        events.sort(Comparator.comparingLong((Told t) -> t.line().unixMillis()).thenComparingInt(Told::number));
        Map<String, Map<String, Integer>> open = new HashMap<>(); // by proxy and host
        for (Told t : events) {
            TraceEvent event = t.line();
            Map<String, Integer> mine = open.computeIfAbsent(t.proxy(), p -> new HashMap<>());
            switch (event.kind()) {
                case STARTED -> {
                    starts++;
                    mine.forEach((h, n) -> host(h).open -= n);
                    mine.clear();
                }
                case CONNECTED -> {
                    HostCount counts = host(event.host());
                    counts.connects++;
                    counts.open++;
                    counts.maxOpen = Math.max(counts.maxOpen, counts.open);
                    mine.merge(event.host(), 1, Integer::sum);
                }
                case CONNECT_FAILED -> host(event.host()).failedConnects++;
                case CLOSED -> {
                    host(event.host()).open--;
                    mine.merge(event.host(), -1, Integer::sum);
                }
                case ATTEMPT -> {
                    HostCount hostCount = host(event.host());
                    hostCount.attempts++;
                    hostCount.rejected += event.detail().equals("FULL") ? 1 : 0;
                    if (event.warmingUp() && !UNSENT.contains(event.detail())) {
                        hostCount.sendsWhileWarmingUp.add(event.unixMillis() - event.durationMillis());
                    }
                    attempts.merge(event.detail(), 1, Integer::sum);
                }
                case REFUSED -> refused.merge(event.detail(), 1, Integer::sum);
                case FAILED -> failed.merge(event.detail(), 1, Integer::sum);
                case LIST -> lists++;
            }
        }
        return this;
    }

    HostCount host(String name) {
        return hosts.computeIfAbsent(name, h -> new HostCount());
    }

    Map<String, Integer> refusedAfter() {
        return refused;
    }

    int starts() {
        return starts;
    }

    int torn() {
        return torn;
    }

    /** Sums up and prints the tables, in Markdown. */
    public void print(PrintStream out) {
        sum();
        out.println("| over the fleet | |\n| --- | --- |");
        out.println("| proxies, their starts | " + proxies + ", " + starts + " |");
        out.println("| attempts by result | " + words(attempts) + " |");
        out.println("| refused, by the last attempt's result | " + words(refused) + " |");
        out.println("| failed, by the last attempt's result | " + words(failed) + " |");
        out.println("| calls for the list | " + lists + " |");
        out.println("| torn lines | " + torn + " |");
        out.println("\n| of " + hosts.size() + " hosts, each | mean | most |\n| --- | --- | --- |");
        row(out, "connections opened", counts -> counts.connects);
        row(out, "connects that failed", hostCount -> hostCount.failedConnects);
        row(out, "open at once", h -> h.maxOpen);
        row(out, "attempts", h -> h.attempts);
        row(out, "turned away", h -> h.rejected);
        row(out, "sends while cold", h -> h.sendsWhileWarmingUp.size());
        row(out, "of them within " + coldWindow + " ms", h -> h.mostCold(coldWindow));
        timetable(out);
    }

    private void row(PrintStream out, String what, ToIntFunction<HostCount> count) {
        out.printf(
                Locale.ROOT,
                "| %s | %.1f | %d |%n",
                what,
                hosts.values().stream().mapToInt(count).average().orElse(0),
                hosts.values().stream().mapToInt(count).max().orElse(0));
    }

    private void timetable(PrintStream out) {
        out.println("\n| from, s | attempts | answered | turned away | lost, failed | refused |"
                + "\n| --- | --- | --- | --- | --- | --- |");
        Map<Long, int[]> rows = new TreeMap<>();
        long first = events.isEmpty() ? 0 : events.get(0).line().unixMillis();
        for (Told t : events) {
            TraceEvent event = t.line();
            int[] row = rows.computeIfAbsent((event.unixMillis() - first) / window, w -> new int[5]);
            if (event.kind() == TraceEvent.Kind.ATTEMPT) {
                row[0]++;
                switch (event.detail()) {
                    case "OK" -> row[1]++;
                    case "FULL" -> row[2]++;
                    case "CANCELLED", "MOOT" -> {} // given up, not lost
                    default -> row[3]++;
                }
            } else if (event.kind() == TraceEvent.Kind.REFUSED) {
                row[4]++;
            }
        }
        rows.forEach((w, n) -> out.printf(
                Locale.ROOT, "| %.1f | %d | %d | %d | %d | %d |%n", w * window / 1e3, n[0], n[1], n[2], n[3], n[4]));
    }

    private static String words(Map<String, Integer> counts) {
        StringBuilder out = new StringBuilder();
        counts.forEach((how, n) -> out.append(out.isEmpty() ? "" : ", ")
                .append(how.equals(TraceEvent.NONE) ? "none" : how)
                .append(' ')
                .append(n));
        return out.isEmpty() ? "none" : out.toString();
    }
}
