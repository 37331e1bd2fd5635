package rillyard.outlier;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;

/** What this proxy last saw of each host that it uses. Bounded by the hosts that its list names and a time. */
final class LocalObservations {
    private record Seen(boolean failed, double at) {}

    private final Map<Integer, Seen> last = new HashMap<>();

    void ended(int host, boolean failed, double now) {
        last.put(host, new Seen(failed, now));
    }

    /** How many hosts it used within so many ms. */
    int used(double habit, double now) {
        last.values().removeIf(seen -> now - seen.at >= habit);
        return last.size();
    }

    /** The hosts whose last sight was a failure, within a window. */
    List<Integer> failing(double window, double now) {
        return last.entrySet().stream()
                .filter(e -> e.getValue().failed && now - e.getValue().at < window)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Its votes of a window: the hosts that failed, newest first, then those of {@code accused} hosts that served it.
     * Guards against a host that loses one request in ten being judged by those it lost alone.
     */
    List<HostObservation> votes(IntPredicate accused, double window, double now) {
        List<HostObservation> votes = new ArrayList<>();
        last.forEach((host, seen) -> {
            if (now - seen.at < window && (seen.failed || accused.test(host))) {
                votes.add(new HostObservation(host, seen.failed, Math.max(0, now - seen.at)));
            }
        });
        votes.sort(Comparator.comparing(HostObservation::failed)
                .reversed()
                .thenComparingDouble(HostObservation::ageMillis)
                .thenComparingInt(HostObservation::host));
        return votes;
    }
}
