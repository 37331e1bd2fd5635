package rillyard.imbalance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * The load imbalance found in a run. Times are microseconds.
 *
 * @param medianStay median time a request spends at a host, the unit of the intervals in which herds are looked for
 * @param windows evenness by window, without windows in which no host was available throughout
 */
public record ImbalanceReport(long medianStay, List<Evenness> windows, List<Herd> herds, List<IdleHost> idleHosts) {
    /** The least stay that is assumed: shorter ones are below what clocks and event loops resolve. */
    private static final long MIN_STAY_MICROS = 5_000;

    /** Time without a request from which on a host may be idle. */
    private static final long MIN_IDLE_MICROS = 1_000_000;

    /** The most herds and idle hosts that are listed. */
    private static final int MAX_LISTED = 8;

    private static final double MICROS_PER_MILLI = 1e3;
    private static final double MICROS_PER_SECOND = 1e6;

    /** Analyses a run; arrivals and events may be in any order. */
    public static ImbalanceReport of(
            List<HostArrival> arrivals, HostAvailability hosts, List<TimelineEvent> events, long window) {
        List<HostArrival> sorted = new ArrayList<>(arrivals);
        sorted.sort(Comparator.comparingLong(HostArrival::at));
        List<TimelineEvent> sortedEvents = new ArrayList<>(events);
        sortedEvents.sort(Comparator.comparingLong(TimelineEvent::at));
        long[] stays = sorted.stream().mapToLong(HostArrival::stay).sorted().toArray();
        long medianStay = stays.length == 0 ? MIN_STAY_MICROS : Math.max(MIN_STAY_MICROS, stays[stays.length / 2]);
        return new ImbalanceReport(
                medianStay,
                windows(sorted, hosts, window),
                new HerdDetector(sorted, hosts, sortedEvents).find(medianStay),
                new IdleHostDetector(sorted, hosts).find(MIN_IDLE_MICROS));
    }

    private static List<Evenness> windows(List<HostArrival> sorted, HostAvailability hosts, long window) {
        List<Evenness> windows = new ArrayList<>();
        int index = 0;
        while (index < sorted.size()) {
            long from = sorted.get(index).at();
            Map<String, Integer> counts = new HashMap<>();
            for (; index < sorted.size() && sorted.get(index).at() < from + window; index++) {
                counts.merge(sorted.get(index).host(), 1, Integer::sum);
            }
            Map<String, Double> shares = hosts.shares(from, from + window);
            if (!shares.isEmpty()) {
                windows.add(Evenness.of(counts, shares));
            }
        }
        return List.copyOf(windows);
    }

    /** Formats the report as text, with times relative to {@code zero}. */
    public String format(long zero) {
        StringBuilder text = new StringBuilder();
        appendEvenness(text);
        text.append(String.format(
                Locale.ROOT, "herds: %d (answer time %.1f ms)%n", herds.size(), medianStay / MICROS_PER_MILLI));
        herds.stream()
                .sorted(Comparator.comparingDouble(Herd::probability))
                .limit(MAX_LISTED)
                .forEach(herd -> appendHerd(text, herd, zero));
        text.append("idle hosts: ").append(idleHosts.size()).append('\n');
        idleHosts.stream()
                .sorted(Comparator.comparingDouble(IdleHost::probability))
                .limit(MAX_LISTED)
                .forEach(host -> appendIdleHost(text, host, zero));
        return text.toString();
    }

    private void appendEvenness(StringBuilder text) {
        List<Evenness> loaded =
                windows.stream().filter(window -> window.requests() > 0).toList();
        text.append(String.format(
                Locale.ROOT,
                "load of hosts, %d windows, median: largest over mean %.2f, least %.2f, variation %.2f"
                        + " (chance %.2f), Jain %.3f%n",
                loaded.size(),
                median(loaded, Evenness::maxOverMean),
                median(loaded, Evenness::minOverMean),
                median(loaded, Evenness::coefficientOfVariation),
                median(loaded, Evenness::expectedVariation),
                median(loaded, Evenness::jainIndex)));
    }

    private static void appendHerd(StringBuilder text, Herd herd, long zero) {
        text.append(String.format(
                Locale.ROOT,
                "  %.3f s to %.3f s: %s got %d first attempts for %.1f, from %d of %d proxies",
                (herd.from() - zero) / MICROS_PER_SECOND,
                (herd.to() - zero) / MICROS_PER_SECOND,
                herd.host(),
                herd.count(),
                herd.expectedCount(),
                herd.proxies(),
                herd.activeProxies()));
        for (TimelineEvent event : herd.precedingEvents()) {
            double after = (herd.from() - event.at()) / MICROS_PER_MILLI;
            text.append(String.format(Locale.ROOT, "; %.0f ms after: %s", after, event.description()));
        }
        text.append('\n');
    }

    private static void appendIdleHost(StringBuilder text, IdleHost host, long zero) {
        text.append(String.format(
                Locale.ROOT,
                "  %.1f s to %.1f s: %s got nothing while %d went elsewhere, %d of them queued%n",
                (host.from() - zero) / MICROS_PER_SECOND,
                (host.to() - zero) / MICROS_PER_SECOND,
                host.host(),
                host.requestsElsewhere(),
                host.queuedElsewhere()));
    }

    private static double median(List<Evenness> windows, ToDoubleFunction<Evenness> metric) {
        double[] sorted = windows.stream().mapToDouble(metric).sorted().toArray();
        return sorted.length == 0 ? Double.NaN : sorted[sorted.length / 2];
    }
}
