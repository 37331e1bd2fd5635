package rillyard.balancer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/** Draws the hosts that are compared for an attempt: random usable ones of the subset. Not thread-safe. */
final class CandidateDraw {
    /** Draws for each candidate that is wanted: more would cost time where nearly all hosts are unusable. */
    private static final int DRAWS_PER_CANDIDATE = 4;

    private final HostEligibility eligibility;
    private final AdmissionController admission;
    private final SplittableRandom random;
    private final List<HostState> candidates = new ArrayList<>();
    private final List<HostState> candidatesView = Collections.unmodifiableList(candidates);

    CandidateDraw(HostEligibility eligibility, AdmissionController admission, SplittableRandom random) {
        this.eligibility = eligibility;
        this.admission = admission;
        this.random = random;
    }

    /**
     * Draws from the own zone, and from the others as well once latency has become a good part of the objective.
     *
     * @return the candidates, in a list that the next draw overwrites; only one if that is an ejected host to probe
     */
    List<HostState> draw(HostSubset subset, RequestState request, double nowMillis) {
        candidates.clear();
        boolean probing = drawFrom(subset.local(), subset, request, nowMillis);
        if (!probing && (candidates.isEmpty() || admission.pressure(nowMillis) > Tuning.SPILL_PRESSURE)) {
            drawFrom(subset.remote(), subset, request, nowMillis);
        }
        return candidatesView;
    }

    /** Adds random hosts of the pool to the candidates; returns true if the only one is an ejected host to probe. */
    private boolean drawFrom(List<HostState> pool, HostSubset subset, RequestState request, double nowMillis) {
        if (pool.isEmpty()) {
            return false;
        }
        int wanted = subset.candidates();
        int found = 0;
        for (int draws = 0; draws < DRAWS_PER_CANDIDATE * wanted && found < wanted; draws++) {
            HostState host = pool.get(random.nextInt(pool.size()));
            if (candidates.contains(host) || !eligibility.isUsable(host, subset, request, nowMillis)) {
                continue;
            }
            if (host.health().isEjected() && request.requestClass().isRepeatable()) {
                candidates.clear(); // an ejected host that loses each comparison would stay out for ever
                candidates.add(host);
                return true;
            }
            candidates.add(host);
            found++;
        }
        return false;
    }
}
