package rillyard.imbalance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds herds: stretches that begin with an arrival at a host and in which it got more than {@link #TIMES} times its share
 * of first attempts. Each stretch looked at is a test; the bound on its probability is cut by their number (Bonferroni),
 * so that a whole run of uniform load raises a false alarm with a probability of {@link #FALSE_ALARM} at most.
 */
final class HerdDetector {
    /** A host that gets more than so many times its share is herded to. */
    static final double TIMES = 3;

    static final double FALSE_ALARM = 0.01;

    /** Stretches are so many answer times long: a herd may be over at once, or outlast many answers. */
    private static final int[] SCALES = {1, 4, 16};

    /** What happened at most so long (us) before a herd may have brought it about. */
    private static final long BEFORE = 2_000_000;

    private static final int MOST_MARKS = 4;

    private final List<HostArrival> first;
    private final HostAvailability hosts;
    private final List<TimelineEvent> marks;

    /** Arrivals and marks in the order of their times. */
    HerdDetector(List<HostArrival> arrivals, HostAvailability hosts, List<TimelineEvent> marks) {
        this.first = arrivals.stream().filter(HostArrival::first).toList();
        this.hosts = hosts;
        this.marks = marks;
    }

    /** All herds, stretches that overlap taken as one, in the order of their times. */
    List<Herd> find(long answerTime) {
        double bound = FALSE_ALARM / Math.max(1, first.size() * SCALES.length);
        List<Herd> found = new ArrayList<>();
        for (int scale : SCALES) {
            scan(answerTime * scale, bound, found);
        }
        return merged(found);
    }

    private void scan(long stretch, double bound, List<Herd> found) {
        Map<String, List<Integer>> byHost = new HashMap<>();
        for (int i = 0; i < first.size(); i++) {
            byHost.computeIfAbsent(first.get(i).host(), h -> new ArrayList<>()).add(i);
        }
        for (Map.Entry<String, List<Integer>> e : byHost.entrySet()) {
            List<Integer> at = e.getValue();
            int end = 0;
            int allEnd = 0;
            for (int k = 0; k < at.size(); k++) {
                long from = first.get(at.get(k)).at();
                while (end < at.size() && first.get(at.get(end)).at() < from + stretch) {
                    end++;
                }
                while (allEnd < first.size() && first.get(allEnd).at() < from + stretch) {
                    allEnd++;
                }
                int count = end - k;
                int all = allEnd - at.get(k);
                if (count > 2) {
                    judge(e.getKey(), from, from + stretch, count, at.get(k), allEnd, all, bound, found);
                }
            }
        }
    }

    private void judge(
            String host,
            long from,
            long until,
            int count,
            int firstIndex,
            int lastIndex,
            int all,
            double bound,
            List<Herd> found) {
        double share = hosts.share(host, from);
        double expected = all * share;
        if (share <= 0 || count <= TIMES * Math.max(expected, share)) {
            return;
        }
        // The stretch begins with one of the host's arrivals: that one is given, the others are by chance.
        double p = MultinomialBaseline.atLeast(count - 1, all - 1, share);
        if (p < bound) {
            Set<String> part = new HashSet<>();
            Set<String> any = new HashSet<>();
            for (HostArrival arrival : first.subList(firstIndex, lastIndex)) {
                any.add(arrival.proxy());
                if (arrival.host().equals(host)) {
                    part.add(arrival.proxy());
                }
            }
            found.add(new Herd(host, from, until, count, expected, p, part.size(), any.size(), before(host, from)));
        }
    }

    private List<TimelineEvent> before(String host, long from) {
        List<TimelineEvent> out = new ArrayList<>();
        for (TimelineEvent event : marks) {
            if (event.at() <= from
                    && event.at() > from - BEFORE
                    && (event.host().isEmpty() || event.host().equals(host))) {
                out.add(event);
            }
        }
        out.sort(Comparator.comparingLong(TimelineEvent::at).reversed());
        return List.copyOf(out.subList(0, Math.min(MOST_MARKS, out.size())));
    }

    /** One for all that overlap at one host: the least probable of them, which tells best when it was. */
    private static List<Herd> merged(List<Herd> found) {
        List<Herd> sorted = new ArrayList<>(found);
        sorted.sort(Comparator.comparing(Herd::host).thenComparingLong(Herd::from));
        List<Herd> out = new ArrayList<>();
        String host = "";
        long until = 0;
        for (Herd herd : sorted) {
            boolean overlaps = herd.host().equals(host) && herd.from() < until;
            until = overlaps ? Math.max(until, herd.until()) : herd.until();
            host = herd.host();
            int last = out.size() - 1;
            if (!overlaps) {
                out.add(herd);
            } else if (herd.probability() < out.get(last).probability()) {
                out.set(last, herd);
            }
        }
        out.sort(Comparator.comparingLong(Herd::from));
        return out;
    }
}
