package rillyard.testserver;

import java.util.List;

/**
 * All that a test cluster is to be and to do.
 *
 * @param seed of all draws of chance
 * @param hosts the hosts at the start; ids differ
 * @param classes the classes; names differ
 * @param reportFields fields of {@code X-Server-Load} in answers; none if empty
 * @param reportPeriodMillis how old a report may be
 * @param discoveryDelayMillis how long discovery takes to hear of a change
 * @param rules values of the rules, for the proxy's settings and the auditor
 * @param faults what goes wrong, in the order of its times
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
     * The values of the rules (ms, but for the multiple).
     *
     * @param drainGraceMillis how long after it was told a proxy may send to a host that drains
     * @param overloadWindowMillis the window of the warming-up host's budget
     * @param overloadMultiple how often its present capacity may be sent to it within the window
     * @param connectTimeoutMillis a proxy gives up a connection that has not come up in this time
     * @param maxAttempts attempts of one request
     */
    public record Rules(
            double drainGraceMillis,
            double overloadWindowMillis,
            double overloadMultiple,
            double connectTimeoutMillis,
            int maxAttempts) {}
}
