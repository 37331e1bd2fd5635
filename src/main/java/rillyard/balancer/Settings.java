package rillyard.balancer;

import java.util.List;

/**
 * The settings of a deployment, which don't change after the start. All times are milliseconds.
 *
 * @param classes request classes, with unique names
 * @param tenants tenants with a quota
 * @param mustSubscribe whether the proxy itself has to subscribe to changes of the endpoint list
 * @param zone this proxy's zone, null if zones are not used
 * @param proxyIndex index of this proxy among all proxies
 * @param proxyCount number of proxies; values below 1 are replaced by 1
 * @param overQuotaWeight minimum weight, from 0 to 1, of a request whose tenant is over its quota
 */
public record Settings(
        List<RequestClass> classes,
        List<Tenant> tenants,
        Limits limits,
        Rules rules,
        boolean mustSubscribe,
        String zone,
        int proxyIndex,
        int proxyCount,
        double overQuotaWeight) {

    /** The mean latency objective if the settings contain no class. */
    private static final double DEFAULT_OBJECTIVE_MILLIS = 400;

    /** Copies the lists, so that the settings are immutable. */
    public Settings {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        proxyCount = Math.max(1, proxyCount);
    }

    /** Returns the mean latency objective over the classes, which is the unit of times that are not in the settings. */
    public double meanLatencyObjectiveMillis() {
        double sum = 0;
        for (RequestClass requestClass : classes) {
            sum += requestClass.latencyObjectiveMillis();
        }
        return classes.isEmpty() ? DEFAULT_OBJECTIVE_MILLIS : sum / classes.size();
    }

    /** Which requests may be sent again after they may have been executed. */
    public enum Semantics {
        /** Any request may be sent again. */
        IDEMPOTENT,
        /**
         * A request may be sent again to a host that shares the memory of idempotency keys with the first host, within
         * the idempotency window.
         */
        DEDUPLICATED,
        /** No request may be sent again. */
        AT_MOST_ONCE
    }

    /** The hosts that share the memory of idempotency keys. */
    public enum Scope {
        /** All hosts. */
        ALL,
        /** The hosts of a zone. */
        ZONE,
        /** The hosts of a cell. */
        CELL
    }

    /**
     * A request class.
     *
     * @param latencyObjectiveMillis latency up to which a response has its full value
     * @param deadlineMillis time that a client waits for a response
     * @param idempotencyWindowMillis time for which hosts remember an idempotency key
     * @param priorityWeight value of a response in time, relative to other classes
     * @param latePriorityWeight fraction of that value, from 0 to 1, that a late response has
     */
    public record RequestClass(
            String name,
            double latencyObjectiveMillis,
            double deadlineMillis,
            Semantics semantics,
            Scope keyScope,
            double idempotencyWindowMillis,
            double priorityWeight,
            double latePriorityWeight) {}

    /**
     * A tenant.
     *
     * @param quotaShare the tenant's quota as a fraction of the traffic, from 0 to 1; 0 for none
     */
    public record Tenant(String name, double quotaShare) {}

    /**
     * The limits on attempts.
     *
     * @param mayCancel whether attempts may be cancelled
     * @param mayRunParallelAttempts whether a request may have several attempts in flight
     * @param maxAttempts maximum number of attempts of a request
     */
    public record Limits(boolean mayCancel, boolean mayRunParallelAttempts, int maxAttempts) {}

    /**
     * The rules for hosts that are warming up and for discovery.
     *
     * @param warmUpMillis time a host takes to reach its full capacity
     * @param initialCapacity fraction of its full capacity, from 0 to 1, that a host has at its start
     * @param overloadWindowMillis time over which the load of a host counts
     * @param overloadMultiple multiple of its capacity at which a host is overloaded
     * @param maxPollIntervalMillis maximum interval between polls of discovery, 0 if not set
     */
    public record Rules(
            double warmUpMillis,
            double initialCapacity,
            double overloadWindowMillis,
            double overloadMultiple,
            double maxPollIntervalMillis) {
        /**
         * Returns the maximum wait before discovery is polled: half of the maximum poll interval if it is set, but at
         * most {@code maxMillis}.
         */
        double pollIntervalMillis(double maxMillis) {
            return maxPollIntervalMillis > 0 ? Math.min(maxMillis, maxPollIntervalMillis / 2) : maxMillis;
        }
    }
}
