package rillyard.imbalance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What was found in a run.
 *
 * @param answerTime the median stay at a host (us), the unit in which herds are looked for
 * @param windows evenness window by window, those without any host left out
 */
public record ImbalanceReport(long answerTime, List<Evenness> windows, List<Herd> herds, List<IdleHost> idle) {
    /** The shortest answer time (us) that herds are looked for in: less is below what clocks and loops tell apart. */
    private static final long LEAST_ANSWER = 5_000;

    /** A host may get nothing for so long (us). */
    private static final long IDLE = 1_000_000;

    private static final int SHOWN = 8;

    /** Looks at a run whose arrivals and marks are in no order; {@code window} is microseconds. */
    public static ImbalanceReport of(
            List<HostArrival> arrivals, HostAvailability hosts, List<TimelineEvent> marks, long window) {
        List<HostArrival> sorted = new ArrayList<>(arrivals);
        sorted.sort(Comparator.comparingLong(HostArrival::at));
        List<TimelineEvent> known = new ArrayList<>(marks);
        known.sort(Comparator.comparingLong(TimelineEvent::at));
        long[] stays = sorted.stream().mapToLong(HostArrival::lasted).sorted().toArray();
        long answer = stays.length == 0 ? LEAST_ANSWER : Math.max(LEAST_ANSWER, stays[stays.length / 2]);
        return new ImbalanceReport(
                answer,
                windows(sorted, hosts, window),
                new HerdDetector(sorted, hosts, known).find(answer),
                new IdleHostDetector(sorted, hosts).find(IDLE));
    }

    private static List<Evenness> windows(List<HostArrival> sorted, HostAvailability hosts, long window) {
        List<Evenness> out = new ArrayList<>();
        int i = 0;
        while (i < sorted.size()) {
            long from = sorted.get(i).at();
            Map<String, Integer> counts = new HashMap<>();
            for (; i < sorted.size() && sorted.get(i).at() < from + window; i++) {
                counts.merge(sorted.get(i).host(), 1, Integer::sum);
            }
            Map<String, Double> shares = hosts.shares(from, from + window);
            if (!shares.isEmpty()) {
                out.add(Evenness.of(counts, shares));
            }
        }
        return List.copyOf(out);
    }

    /** In words; times count from {@code zero} (us). */
    public String words(long zero) {
        StringBuilder out = new StringBuilder();
        List<Evenness> full =
                windows.stream().filter(evenness -> evenness.requests() > 0).toList();
        out.append(String.format(
                Locale.ROOT,
                "load of hosts, %d windows, median: largest over mean %.2f, least %.2f, variation %.2f"
                        + " (chance %.2f), Jain %.3f%n",
                full.size(),
                median(full, Evenness::most),
                median(full, Evenness::least),
                median(full, Evenness::variation),
                median(full, Evenness::chanceVariation),
                median(full, Evenness::jain)));
        out.append(String.format(Locale.ROOT, "herds: %d (answer time %.1f ms)%n", herds.size(), answerTime / 1e3));
        herds.stream()
                .sorted(Comparator.comparingDouble(Herd::probability))
                .limit(SHOWN)
                .forEach(herd -> {
                    out.append(String.format(
                            Locale.ROOT,
                            "  %.3f s to %.3f s: %s got %d first attempts for %.1f, from %d of %d proxies",
                            (herd.from() - zero) / 1e6,
                            (herd.until() - zero) / 1e6,
                            herd.host(),
                            herd.count(),
                            herd.expected(),
                            herd.proxies(),
                            herd.allProxies()));
                    herd.before()
                            .forEach(event -> out.append(String.format(
                                    Locale.ROOT,
                                    "; %.0f ms after: %s",
                                    (herd.from() - event.at()) / 1e3,
                                    event.what())));
                    out.append('\n');
                });
        out.append("idle hosts: ").append(idle.size()).append('\n');
        idle.stream()
                .sorted(Comparator.comparingDouble(IdleHost::probability))
                .limit(SHOWN)
                .forEach(host -> out.append(String.format(
                        Locale.ROOT,
                        "  %.1f s to %.1f s: %s got nothing while %d went elsewhere, %d of them queued%n",
                        (host.from() - zero) / 1e6,
                        (host.until() - zero) / 1e6,
                        host.host(),
                        host.missed(),
                        host.queued())));
        return out.toString();
    }

    private static double median(List<Evenness> windows, java.util.function.ToDoubleFunction<Evenness> what) {
        double[] sorted = windows.stream().mapToDouble(what).sorted().toArray();
        return sorted.length == 0 ? Double.NaN : sorted[sorted.length / 2];
    }
}
