package rillyard.balancer;

import java.util.SplittableRandom;

/**
 * Chooses the host for an attempt, in three steps: the {@link CandidateDraw} picks several random hosts of the subset, {@link
 * LeastRequestComparison} finds the one with the fewest own requests, and {@link LastResort} looks at all hosts where the
 * draw has found none. Not thread-safe.
 */
final class HostSelector {
    private final OutlierDetector outliers;
    private final LoadEstimator load;
    private final AdmissionController admission;
    private final SplittableRandom random;
    private final SubsetSelector subsets;
    private final SlowStart slowStart;
    private final CandidateDraw candidateDraw;
    private final LastResort lastResort;

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
        this.lastResort = new LastResort(hosts, eligibility, random);
    }

    /** Moves the subset from the next selection on. */
    void moveSubset(SubsetPosition position) {
        subsets.moveTo(position);
    }

    /** Returns the host for the next attempt of the request, null if there is none that may and should get it. */
    HostState select(RequestState request, double nowMillis) {
        HostSubset subset = subsets.select(admission.peakInFlight(nowMillis), nowMillis);
        HostState selected = selectFromSubset(subset, request, nowMillis);
        if (selected == null) {
            selected = lastResort.select(request, nowMillis);
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

    /** Returns the expected wait by which the host is compared: none if the subset prefers it as one that is warming up. */
    private double comparedWait(HostSubset subset, HostState host, double nowMillis) {
        boolean preferred = subset.preferWarmingUp() && slowStart.isWarmingUp(host, nowMillis);
        return preferred ? 0 : load.expectedWait(host, nowMillis);
    }
}
