package rillyard.loadgen;

import java.util.List;

/**
 * What is to be sent.
 *
 * @param seed of all draws of chance: the same seed gives the same arrivals
 * @param profiles one after the other; empty where a trace is replayed
 * @param trace what is replayed, or null
 * @param classes the classes, one at least
 * @param tenants the tenants; empty for none
 * @param clients how clients behave
 * @param maxOpen requests that may be under way at once; past it none is sent, and the run is invalid
 * @param maxLatenessMillis how late the generator's sends may be (99th percentile) in a valid run
 * @param verify whether answers are checked to be a test cluster's answer to the very request
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

    /** Seconds from the first to the last arrival, as far as the plan tells. */
    public double seconds() {
        return trace != null
                ? trace.seconds()
                : profiles.stream().mapToDouble(RateProfile::seconds).sum();
    }
}
