package rillyard.outlier;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;

/**
 * What this proxy last observed of each host that it uses. Bounded by the hosts it has used lately. Times are milliseconds.
 * Not thread-safe.
 */
final class LocalObservations {
    private static final Comparator<HostObservation> FAILURES_THEN_NEWEST_FIRST = Comparator.comparing(
                    HostObservation::failed)
            .reversed()
            .thenComparingDouble(HostObservation::ageMillis)
            .thenComparingInt(HostObservation::host);

    private record Outcome(boolean failed, double at) {}

    private final Map<Integer, Outcome> lastOutcomes = new HashMap<>();

    /** Records the outcome of an attempt. */
    void record(int host, boolean failed, double now) {
        lastOutcomes.put(host, new Outcome(failed, now));
    }

    /** Returns how many hosts were used within {@code usageWindow}, and forgets the others. */
    int countUsedHosts(double usageWindow, double now) {
        lastOutcomes.values().removeIf(outcome -> now - outcome.at >= usageWindow);
        return lastOutcomes.size();
    }

    /** Returns the hosts whose last outcome, within {@code window}, was a failure. */
    List<Integer> failingHosts(double window, double now) {
        return lastOutcomes.entrySet().stream()
                .filter(entry -> entry.getValue().failed && now - entry.getValue().at < window)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the observations within {@code window} to publish: failures, newest first, then successes at hosts that are
     * {@code suspected}, without which a host that loses one request in ten would be judged by its failures alone.
     */
    List<HostObservation> observations(IntPredicate suspected, double window, double now) {
        List<HostObservation> observations = new ArrayList<>();
        lastOutcomes.forEach((host, outcome) -> {
            if (now - outcome.at < window && (outcome.failed || suspected.test(host))) {
                observations.add(new HostObservation(host, outcome.failed, Math.max(0, now - outcome.at)));
            }
        });
        observations.sort(FAILURES_THEN_NEWEST_FIRST);
        return observations;
    }
}
