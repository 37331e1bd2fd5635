package rillyard.balancer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/** Draws random usable hosts of the subset as the candidates that are compared for an attempt. Not thread-safe. */
final class CandidateDraw {
    /** Maximum number of draws per wanted candidate: more would cost time where nearly all hosts are unusable. */
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
     * Draws candidates from the proxy's own zone, and from other zones as well if the own zone has none or the latency
     * pressure exceeds {@link Tuning#SPILL_PRESSURE}.
     *
     * @return the candidates, in a list that the next draw overwrites; a single one if it is an ejected host to probe
     */
    List<HostState> draw(HostSubset subset, RequestState request, double nowMillis) {
        candidates.clear();
        boolean probing = drawFrom(subset.local(), subset, request, nowMillis);
        if (!probing && (candidates.isEmpty() || admission.pressure(nowMillis) > Tuning.SPILL_PRESSURE)) {
            drawFrom(subset.remote(), subset, request, nowMillis);
        }
        return candidatesView;
    }

    /**
     * Adds random usable hosts of the pool to the candidates; returns true if the only candidate is an ejected host to
     * probe.
     */
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
                candidates.clear(); // an ejected host that lost every comparison would never be readmitted
                candidates.add(host);
                return true;
            }
            candidates.add(host);
            found++;
        }
        return false;
    }
}
