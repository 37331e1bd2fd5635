package rillyard.balancer;

import java.util.List;

/** What a deployment states at start. All times are milliseconds. */
public record Settings(
        List<RequestClass> classes,
        List<Tenant> tenants,
        Limits limits,
        Rules rules,
        Fees fees,
        boolean mustFollow,
        String zone,
        int position,
        int balancers,
        double overShareWorth,
        boolean worthByWork) {

    /** Copies the lists, so that settings never change. */
    public Settings {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        balancers = Math.max(1, balancers);
    }

    /** What the times of a deployment are measured in where they are not stated. */
    public double meanAim() {
        double sum = 0;
        for (RequestClass c : classes) {
            sum += c.aim();
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
            double aim,
            double deadline,
            Semantics semantics,
            Scope scope,
            double repeatWindow,
            double value,
            double lateWorth) {}

    /** A tenant and its share. */
    public record Tenant(String name, double quotaPerSecond, double portion) {}

    /** What the deployment permits. */
    public record Limits(
            boolean cancel,
            boolean retryAfter,
            boolean parallelTries,
            int maxAttempts,
            double maxRetryAfter,
            int streamsPerConnection) {}

    /** The figures of the drain and cold-host rules. */
    public record Rules(double cold, double startCapacity, double fall, double fallMultiple, double askWithin) {
        /** The longest wait (ms) before discovery is asked again: half of what is allowed if stated, {@code most} at most. */
        double askAgain(double most) {
            return askWithin > 0 ? Math.min(most, askWithin / 2) : most;
        }
    }

    /** Prices that bear on choices. */
    public record Fees(double crossZone, double waste) {}
}
