package rillyard.balancer;

import java.util.List;

/**
 * The settings of a deployment, fixed at the start. All times are milliseconds.
 *
 * @param classes classes of requests, by unique names
 * @param tenants tenants with a quota
 * @param mustSubscribe whether the proxy has to subscribe to changes of the endpoint list itself
 * @param zone this proxy's zone, null if zones do not matter
 * @param proxyIndex index of this proxy among all of them
 * @param proxyCount number of proxies; less than 1 is taken for 1
 * @param overQuotaWeight least weight of a request whose tenant is over its quota, from 0 to 1
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

    /** The latency objective of settings that name no class. */
    private static final double DEFAULT_OBJECTIVE_MILLIS = 400;

    /** Copies the lists, so that settings never change. */
    public Settings {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        proxyCount = Math.max(1, proxyCount);
    }

    /** Returns the mean latency objective over the classes, the unit of times that the settings do not state. */
    public double meanLatencyObjectiveMillis() {
        double sum = 0;
        for (RequestClass requestClass : classes) {
            sum += requestClass.latencyObjectiveMillis();
        }
        return classes.isEmpty() ? DEFAULT_OBJECTIVE_MILLIS : sum / classes.size();
    }

    /** What may be repeated once it may have been executed. */
    public enum Semantics {
        /** Any request. */
        IDEMPOTENT,
        /** A request to a host that shares the memory of idempotency keys with the first one, within a window of time. */
        DEDUPLICATED,
        /** No request. */
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
     * A class of requests.
     *
     * @param latencyObjectiveMillis latency up to which an answer is of full use
     * @param deadlineMillis time a client waits for an answer
     * @param idempotencyWindowMillis how long hosts remember an idempotency key
     * @param priorityWeight value of an answer in time, relative to other classes
     * @param latePriorityWeight part of its value, from 0 to 1, that a late answer has
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
     * @param quotaShare part of the traffic, from 0 to 1, that is its quota; 0 for none
     */
    public record Tenant(String name, double quotaShare) {}

    /**
     * What the deployment permits.
     *
     * @param mayCancel whether attempts may be cancelled
     * @param mayRunParallelAttempts whether a request may have several attempts in flight
     * @param maxAttempts greatest number of attempts of a request
     */
    public record Limits(boolean mayCancel, boolean mayRunParallelAttempts, int maxAttempts) {}

    /**
     * Rules of the deployment on hosts that warm up and on discovery.
     *
     * @param warmUpMillis time a host takes to reach its full capacity
     * @param initialCapacity part of its capacity, from 0 to 1, that it has at first
     * @param overloadWindowMillis time over which its load counts
     * @param overloadMultiple multiple of its capacity that overloads it
     * @param maxPollIntervalMillis greatest interval between polls of discovery, 0 if not stated
     */
    public record Rules(
            double warmUpMillis,
            double initialCapacity,
            double overloadWindowMillis,
            double overloadMultiple,
            double maxPollIntervalMillis) {
        /** Returns the longest wait before discovery is polled: {@code mostMillis}, or half of the interval if that is less. */
        double pollIntervalMillis(double mostMillis) {
            return maxPollIntervalMillis > 0 ? Math.min(mostMillis, maxPollIntervalMillis / 2) : mostMillis;
        }
    }
}
