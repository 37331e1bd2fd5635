package rillyard.balancer;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Chooses the host for an attempt: of several random hosts of the subset, the one with the fewest own requests. */
final class HostSelector {
    private final HostSet hosts;
    private final LoadEstimator load;
    private final OutlierDetector outliers;
    private final RetryPolicy retryPolicy;
    private final AdmissionController admission;
    private final SplittableRandom random;
    private final SubsetSelector subsets;
    private final SlowStart slowStart;
    private final List<HostState> candidates = new ArrayList<>();
    private HostSubset subset;
    private HostState best;
    private double bestCount;
    private double bestWait;
    private int ties;

    HostSelector(
            Settings settings,
            HostSet hosts,
            LoadEstimator load,
            OutlierDetector outliers,
            RetryPolicy retryPolicy,
            AdmissionController admission,
            SplittableRandom random) {
        this.hosts = hosts;
        this.load = load;
        this.outliers = outliers;
        this.retryPolicy = retryPolicy;
        this.admission = admission;
        this.random = random;
        this.subsets = new SubsetSelector(settings, hosts, load);
        this.slowStart = new SlowStart(settings.rules(), admission, load);
    }

    /** Moves the subset from the next selection on. */
    void moveSubset(SubsetPosition position) {
        subsets.moveTo(position);
    }

    /** Returns the host for the next attempt of the request, null if there is none that may and should get it. */
    HostState select(RequestState request, double now) {
        collectCandidates(request, now);
        best = null;
        for (HostState candidate : candidates) {
            compare(candidate, request, now);
        }
        HostState selected = best != null ? best : selectFromAll(request, now);
        if (selected != null) {
            slowStart.onSend(selected, now);
        }
        return selected;
    }

    private void collectCandidates(RequestState request, double now) {
        subset = subsets.select(admission.peakInFlight(now), now);
        candidates.clear();
        boolean probing = draw(subset.local(), request, now);
        // Other zones serve as well once latency has become a good part of the objective.
        if (!probing && (candidates.isEmpty() || admission.pressure(now) > Tuning.SPILL_PRESSURE)) {
            draw(subset.remote(), request, now);
        }
    }

    /** Adds random hosts of the pool to the candidates; returns true if the only one is an ejected host to probe. */
    private boolean draw(List<HostState> pool, RequestState request, double now) {
        int wanted = subset.candidates();
        int found = 0;
        for (int draws = 0; draws < 4 * wanted && found < wanted && !pool.isEmpty(); draws++) {
            HostState host = pool.get(random.nextInt(pool.size()));
            if (candidates.contains(host) || !isUsable(host, request, now)) {
                continue;
            }
            if (host.health().isEjected() && request.requestClass().isRepeatable()) {
                candidates.clear(); // an ejected host that loses each comparison would stay out for ever
                candidates.add(host);
                return true;
            }
            found++;
            candidates.add(host);
        }
        return false;
    }

    private boolean isUsable(HostState host, RequestState request, double now) {
        boolean first = request.attempts().isEmpty();
        return retryPolicy.permits(request, host, now)
                && (first ? isInTime(host, request, now) : !request.hasTried(host))
                && outliers.isAvailable(host, now, request.requestClass().overdueAfter())
                && slowStart.permits(host, subset.hostCount(), now);
    }

    /**
     * Whether the host is expected to answer a first attempt in time. Checked for every candidate: were only the winner
     * checked, an idle host without load reports could win every comparison and cause every request to be rejected.
     */
    private boolean isInTime(HostState host, RequestState request, double now) {
        return load.expectedLatency(host, now) <= request.maxExpectedLatency();
    }

    private void compare(HostState host, RequestState request, double now) {
        double count = outliers.weightedInFlight(host, request.requestClass(), now);
        boolean preferred = subset.preferWarmingUp() && slowStart.isWarmingUp(host, now);
        double wait = preferred ? 0 : load.expectedWait(host, now);
        if (best != null && count > bestCount + 0.5) {
            return;
        }
        boolean fewer = best == null || count < bestCount - 0.5;
        boolean tie = !fewer && Math.abs(wait - bestWait) <= Tuning.WAIT_TIE_TOLERANCE * bestWait;
        ties = fewer ? 1 : tie ? ties + 1 : ties;
        if (fewer || (tie ? random.nextInt(ties) == 0 : wait < bestWait)) {
            best = host;
            bestCount = count;
            bestWait = wait;
        }
    }

    /** Returns a healthy host in time; else, unless a healthy one is overloaded, the least loaded unhealthy host. */
    private HostState selectFromAll(RequestState request, double now) {
        List<HostState> all = hosts.ready();
        int start = all.isEmpty() ? 0 : random.nextInt(all.size());
        boolean first = request.attempts().isEmpty();
        HostState lastResort = null;
        boolean overloaded = false;
        for (int offset = 0; offset < all.size(); offset++) {
            HostState host = all.get((start + offset) % all.size());
            if (!retryPolicy.permits(request, host, now) || !slowStart.permits(host, all.size(), now)) {
                continue;
            }
            boolean late = first && !isInTime(host, request, now);
            boolean healthy =
                    outliers.isAvailable(host, now, request.requestClass().overdueAfter());
            overloaded |= late && healthy;
            if (healthy && !late && !request.hasTried(host)) {
                return host;
            }
            if (first && !late && (lastResort == null || host.inFlight() < lastResort.inFlight())) {
                lastResort = host;
            }
        }
        return overloaded ? null : lastResort;
    }
}
