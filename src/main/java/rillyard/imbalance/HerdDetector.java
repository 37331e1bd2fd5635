package rillyard.imbalance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds herds: intervals that begin with an arrival at a host and in which it got more than {@link #MIN_EXCESS} times its
 * share of first attempts. Each interval is a test; the threshold of its probability is divided by their number (Bonferroni
 * correction), so that a run of uniform load raises a false alarm with {@link #FALSE_ALARM_PROBABILITY} at most. Times are
 * microseconds.
 */
final class HerdDetector {
    /** Multiple of its share above which a host may have a herd. */
    static final double MIN_EXCESS = 3;

    static final double FALSE_ALARM_PROBABILITY = 0.01;

    /** Lengths of the intervals in units of the median stay: a herd may be over at once, or outlast many answers. */
    private static final int[] INTERVAL_SCALES = {1, 4, 16};

    /** Time before a herd within which an event may have caused it. */
    private static final long CAUSE_WINDOW_MICROS = 2_000_000;

    private static final int MAX_EVENTS = 4;

    /** First attempts in [from, to), by index, of which {@code count} arrived at the host. */
    private record Interval(String host, long from, long to, int count, int firstIndex, int endIndex) {}

    private final List<HostArrival> firstAttempts;
    private final HostAvailability hosts;
    private final List<TimelineEvent> events;

    /** Creates a detector over arrivals and events in the order of their times. */
    HerdDetector(List<HostArrival> arrivals, HostAvailability hosts, List<TimelineEvent> events) {
        this.firstAttempts = arrivals.stream().filter(HostArrival::firstAttempt).toList();
        this.hosts = hosts;
        this.events = events;
    }

    /** Returns all herds in order of time, with overlapping intervals of a host taken as one. */
    List<Herd> find(long medianStay) {
        double threshold = FALSE_ALARM_PROBABILITY / Math.max(1, firstAttempts.size() * INTERVAL_SCALES.length);
        List<Herd> herds = new ArrayList<>();
        for (int scale : INTERVAL_SCALES) {
            scan(medianStay * scale, threshold, herds);
        }
        return merge(herds);
    }

    private void scan(long length, double threshold, List<Herd> herds) {
        Map<String, List<Integer>> indexesByHost = new HashMap<>();
        for (int index = 0; index < firstAttempts.size(); index++) {
            indexesByHost
                    .computeIfAbsent(firstAttempts.get(index).host(), host -> new ArrayList<>())
                    .add(index);
        }
        indexesByHost.forEach((host, indexes) -> scan(host, indexes, length, threshold, herds));
    }

    /** Tests the intervals of one host, with two ends that only move forward. */
    private void scan(String host, List<Integer> indexes, long length, double threshold, List<Herd> herds) {
        int hostEnd = 0;
        int end = 0;
        for (int first = 0; first < indexes.size(); first++) {
            long from = firstAttempts.get(indexes.get(first)).at();
            long to = from + length;
            while (hostEnd < indexes.size()
                    && firstAttempts.get(indexes.get(hostEnd)).at() < to) {
                hostEnd++;
            }
            while (end < firstAttempts.size() && firstAttempts.get(end).at() < to) {
                end++;
            }
            int count = hostEnd - first;
            if (count > 2) {
                test(new Interval(host, from, to, count, indexes.get(first), end), threshold, herds);
            }
        }
    }

    private void test(Interval interval, double threshold, List<Herd> herds) {
        int all = interval.endIndex - interval.firstIndex;
        double share = hosts.share(interval.host, interval.from);
        double expected = all * share;
        if (share <= 0 || interval.count <= MIN_EXCESS * Math.max(expected, share)) {
            return;
        }
        // The interval begins with one of the host's arrivals by definition; only the others are random.
        double probability = MultinomialBaseline.probabilityOfAtLeast(interval.count - 1, all - 1, share);
        if (probability < threshold) {
            herds.add(herd(interval, expected, probability));
        }
    }

    private Herd herd(Interval interval, double expected, double probability) {
        Set<String> participants = new HashSet<>();
        Set<String> active = new HashSet<>();
        for (HostArrival arrival : firstAttempts.subList(interval.firstIndex, interval.endIndex)) {
            active.add(arrival.proxy());
            if (arrival.host().equals(interval.host)) {
                participants.add(arrival.proxy());
            }
        }
        return new Herd(
                interval.host,
                interval.from,
                interval.to,
                interval.count,
                expected,
                probability,
                participants.size(),
                active.size(),
                precedingEvents(interval.host, interval.from));
    }

    private List<TimelineEvent> precedingEvents(String host, long from) {
        return events.stream()
                .filter(event -> event.at() <= from && event.at() > from - CAUSE_WINDOW_MICROS)
                .filter(event -> event.host().isEmpty() || event.host().equals(host))
                .sorted(Comparator.comparingLong(TimelineEvent::at).reversed())
                .limit(MAX_EVENTS)
                .toList();
    }

    /** Returns the least probable of the herds that overlap at one host, which shows best when it was. */
    private static List<Herd> merge(List<Herd> herds) {
        List<Herd> sorted = new ArrayList<>(herds);
        sorted.sort(Comparator.comparing(Herd::host).thenComparingLong(Herd::from));
        List<Herd> merged = new ArrayList<>();
        String host = "";
        long to = 0;
        for (Herd herd : sorted) {
            boolean overlaps = herd.host().equals(host) && herd.from() < to;
            to = overlaps ? Math.max(to, herd.to()) : herd.to();
            host = herd.host();
            int last = merged.size() - 1;
            if (!overlaps) {
                merged.add(herd);
            } else if (herd.probability() < merged.get(last).probability()) {
                merged.set(last, herd);
            }
        }
        merged.sort(Comparator.comparingLong(Herd::from));
        return merged;
    }
}
