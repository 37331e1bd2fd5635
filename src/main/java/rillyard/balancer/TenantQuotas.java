package rillyard.balancer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Weights requests by their tenant's share of the recent traffic, so that one tenant's burst doesn't displace the
 * others.
 */
final class TenantQuotas {
    private record Usage(double quotaShare, DecayingCounter requests) {}

    private final double overQuotaWeight;
    private final Map<String, Usage> usages = new HashMap<>();
    private final DecayingCounter allRequests = new DecayingCounter(Tuning.QUOTA_DECAY_MILLIS);

    TenantQuotas(List<Settings.Tenant> tenants, double overQuotaWeight) {
        this.overQuotaWeight = overQuotaWeight;
        for (Settings.Tenant tenant : tenants) {
            usages.put(tenant.name(), new Usage(tenant.quotaShare(), new DecayingCounter(Tuning.QUOTA_DECAY_MILLIS)));
        }
    }

    /** Counts a request and returns its weight: 1 while its tenant is within its quota or has none, otherwise less. */
    double onRequest(double nowMillis, String tenant) {
        allRequests.add(nowMillis, 1);
        Usage usage = usages.get(tenant);
        if (usage == null || usage.quotaShare <= 0) {
            return 1;
        }
        usage.requests.add(nowMillis, 1);
        double used = usage.requests.lastValue() + Tuning.QUOTA_PRIOR_REQUESTS * usage.quotaShare;
        double usedShare = used / (allRequests.lastValue() + Tuning.QUOTA_PRIOR_REQUESTS);
        return Math.min(1, Math.max(overQuotaWeight, usage.quotaShare / usedShare));
    }
}
