package rillyard.testserver;

import java.util.List;

/**
 * Configuration of a test cluster.
 *
 * @param seed seed of all random draws
 * @param hosts hosts at the start, with distinct ids
 * @param classes request classes, with distinct names
 * @param reportFields fields of {@code X-Server-Load} in responses; empty for no load report
 * @param reportPeriodMillis maximum age of a load report in milliseconds
 * @param discoveryDelayMillis delay in milliseconds until discovery publishes a change of a host
 * @param rules limits that the proxy is configured with and the auditor checks
 * @param faults fault schedule, by ascending start time
 */
public record TestClusterPlan(
        long seed,
        List<HostSpec> hosts,
        List<RequestClassSpec> classes,
        List<String> reportFields,
        double reportPeriodMillis,
        double discoveryDelayMillis,
        Rules rules,
        List<HostFault> faults) {

    /** Copies the lists. */
    public TestClusterPlan {
        hosts = List.copyOf(hosts);
        classes = List.copyOf(classes);
        reportFields = List.copyOf(reportFields);
        faults = List.copyOf(faults);
    }

    /**
     * Limits that proxies must keep.
     *
     * @param drainGraceMillis time in milliseconds after the announcement during which a proxy may still send to a
     *     draining host
     * @param overloadWindowMillis window in milliseconds of the slow-start limit
     * @param overloadMultiple multiple of a warming-up host's current capacity that it may be sent within the window
     * @param connectTimeoutMillis time in milliseconds after which a proxy abandons a connect
     * @param maxAttempts maximum number of attempts of one request
     */
    public record Rules(
            double drainGraceMillis,
            double overloadWindowMillis,
            double overloadMultiple,
            double connectTimeoutMillis,
            int maxAttempts) {}
}
