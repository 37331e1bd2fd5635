package rillyard.outlier;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;

/**
 * This proxy's last observation of each host that it uses. The size is bounded by the number of recently used hosts.
 * Not thread-safe.
 */
final class LocalObservations {
    private static final Comparator<HostObservation> FAILURES_THEN_NEWEST_FIRST = Comparator.comparing(
                    HostObservation::failed)
            .reversed()
            .thenComparingDouble(HostObservation::ageMillis)
            .thenComparingInt(HostObservation::host);

    private record Outcome(boolean failed, double atMillis) {}

    private final Map<Integer, Outcome> lastOutcomes = new HashMap<>();

    /** Records the outcome of an attempt. */
    void record(int host, boolean failed, double nowMillis) {
        lastOutcomes.put(host, new Outcome(failed, nowMillis));
    }

    /** Returns how many hosts were used within {@code usageWindowMillis}, and forgets the others. */
    int countUsedHosts(double usageWindowMillis, double nowMillis) {
        lastOutcomes.values().removeIf(outcome -> nowMillis - outcome.atMillis >= usageWindowMillis);
        return lastOutcomes.size();
    }

    /** Returns the hosts whose last outcome was a failure within {@code windowMillis}. */
    List<Integer> failingHosts(double windowMillis, double nowMillis) {
        return lastOutcomes.entrySet().stream()
                .filter(entry -> entry.getValue().failed && nowMillis - entry.getValue().atMillis < windowMillis)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the observations within {@code windowMillis} to publish: failures, newest first, then successes at hosts
     * that are {@code suspected}. Without those, a host that fails one request in ten would be judged by its failures
     * alone.
     */
    List<HostObservation> observations(IntPredicate suspected, double windowMillis, double nowMillis) {
        List<HostObservation> observations = new ArrayList<>();
        lastOutcomes.forEach((host, outcome) -> {
            if (nowMillis - outcome.atMillis < windowMillis && (outcome.failed || suspected.test(host))) {
                observations.add(new HostObservation(host, outcome.failed, Math.max(0, nowMillis - outcome.atMillis)));
            }
        });
        observations.sort(FAILURES_THEN_NEWEST_FIRST);
        return observations;
    }
}
