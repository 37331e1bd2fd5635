package rillyard.balancer;

import java.util.SplittableRandom;

/**
 * Chooses the host for an attempt in three steps: {@link CandidateDraw} draws several random hosts of the subset,
 * {@link LeastRequestComparison} finds the one with the fewest requests of this proxy, and {@link FallbackSelector}
 * searches all hosts if the draw has found none. Not thread-safe.
 */
final class HostSelector {
    private final OutlierDetector outliers;
    private final LoadEstimator load;
    private final AdmissionController admission;
    private final SplittableRandom random;
    private final SubsetSelector subsets;
    private final SlowStart slowStart;
    private final CandidateDraw candidateDraw;
    private final FallbackSelector fallbackSelector;

    HostSelector(
            Settings settings,
            HostSet hosts,
            LoadEstimator load,
            OutlierDetector outliers,
            RetryPolicy retryPolicy,
            AdmissionController admission,
            SplittableRandom random) {
        this.load = load;
        this.outliers = outliers;
        this.admission = admission;
        this.random = random;
        this.subsets = new SubsetSelector(settings, hosts, load);
        this.slowStart = new SlowStart(settings.rules(), hosts, admission, load);
        HostEligibility eligibility = new HostEligibility(retryPolicy, outliers, slowStart, load);
        this.candidateDraw = new CandidateDraw(eligibility, admission, random);
        this.fallbackSelector = new FallbackSelector(hosts, eligibility, random);
    }

    /** Moves the subset to another position, from the next selection on. */
    void moveSubset(SubsetPosition position) {
        subsets.moveTo(position);
    }

    /** Returns the host for the next attempt of the request, null if no host is eligible. */
    HostState select(RequestState request, double nowMillis) {
        HostSubset subset = subsets.select(admission.peakInFlight(nowMillis), nowMillis);
        HostState selected = selectFromSubset(subset, request, nowMillis);
        if (selected == null) {
            selected = fallbackSelector.select(request, nowMillis);
        }
        if (selected != null) {
            slowStart.onSend(selected, nowMillis);
        }
        return selected;
    }

    private HostState selectFromSubset(HostSubset subset, RequestState request, double nowMillis) {
        LeastRequestComparison comparison = new LeastRequestComparison(random);
        for (HostState candidate : candidateDraw.draw(subset, request, nowMillis)) {
            double weightedInFlight = outliers.weightedInFlight(candidate, request.requestClass(), nowMillis);
            comparison.offer(candidate, weightedInFlight, comparedWait(subset, candidate, nowMillis));
        }
        return comparison.winner();
    }

    /**
     * Returns the expected wait to compare the host by: 0 for a host that is warming up if the subset prefers such
     * hosts.
     */
    private double comparedWait(HostSubset subset, HostState host, double nowMillis) {
        boolean preferred = subset.preferWarmingUp() && slowStart.isWarmingUp(host, nowMillis);
        return preferred ? 0 : load.expectedWait(host, nowMillis);
    }
}
