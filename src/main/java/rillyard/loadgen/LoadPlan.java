package rillyard.loadgen;

import java.util.List;

/**
 * The plan of a load run: arrivals, request classes, tenants and clients.
 *
 * @param seed seed of all random draws; the same seed gives the same arrivals
 * @param profiles rate profiles, one after the other; empty if a trace is replayed
 * @param trace trace to replay, or null
 * @param classes request classes, at least one
 * @param tenants tenants; empty for none
 * @param clients behaviour of the clients
 * @param maxOpen maximum number of open requests; requests beyond it are not sent, which makes the run invalid
 * @param maxLatenessMillis upper bound in milliseconds on the 99th percentile of the generator's own lateness in a
 *     valid run
 * @param verify whether a response must be a test cluster's response to this very request
 */
public record LoadPlan(
        long seed,
        List<RateProfile> profiles,
        RecordedTrace trace,
        List<LoadClass> classes,
        List<Tenant> tenants,
        ClientSpec clients,
        int maxOpen,
        double maxLatenessMillis,
        boolean verify) {

    /** Copies the lists. */
    public LoadPlan {
        profiles = List.copyOf(profiles);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
    }

    /** A tenant and its weight among the tenants. */
    public record Tenant(String name, double share) {}

    /** Returns the planned duration in seconds: the sum of the profiles' durations, or the time span of the trace. */
    public double seconds() {
        return trace != null
                ? trace.seconds()
                : profiles.stream().mapToDouble(RateProfile::seconds).sum();
    }
}
