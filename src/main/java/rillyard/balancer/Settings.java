package rillyard.balancer;

import java.util.List;

/** What a deployment states at start. All times are milliseconds. */
public record Settings(
        List<RequestClass> classes,
        List<Tenant> tenants,
        Limits limits,
        Rules rules,
        Fees fees,
        boolean mustSubscribe,
        String zone,
        int proxyIndex,
        int proxyCount,
        double overQuotaWeight,
        boolean worthByWork) {

    /** Copies the lists, so that settings never change. */
    public Settings {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        proxyCount = Math.max(1, proxyCount);
    }

    /** What the times of a deployment are measured in where they are not stated. */
    public double meanLatencyObjective() {
        double sum = 0;
        for (RequestClass c : classes) {
            sum += c.latencyObjective();
        }
        return classes.isEmpty() ? 400 : sum / classes.size();
    }

    /** What may be repeated. */
    public enum Semantics {
        IDEMPOTENT,
        DEDUPLICATED,
        AT_MOST_ONCE
    }

    /** The hosts that share the memory of a deduplicated request. */
    public enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** A class of requests. */
    public record RequestClass(
            String name,
            double latencyObjective,
            double deadline,
            Semantics semantics,
            Scope keyScope,
            double idempotencyWindow,
            double priorityWeight,
            double latePriorityWeight) {}

    /** A tenant and its share. */
    public record Tenant(String name, double quotaPerSecond, double quotaShare) {}

    /** What the deployment permits. */
    public record Limits(
            boolean mayCancel,
            boolean retryAfter,
            boolean mayRunParallelAttempts,
            int maxAttempts,
            double maxRetryAfter,
            int streamsPerConnection) {}

    /** The figures of the drain and cold-host rules. */
    public record Rules(
            double warmUpTime,
            double initialCapacity,
            double overloadWindow,
            double overloadMultiple,
            double maxPollInterval) {
        /** The longest wait (ms) before discovery is asked again: half of what is allowed if stated, {@code most} at most. */
        double pollInterval(double most) {
            return maxPollInterval > 0 ? Math.min(most, maxPollInterval / 2) : most;
        }
    }

    /** Prices that bear on choices. */
    public record Fees(double crossZone, double waste) {}
}
