package rillyard.outlier;

/**
 * What those who saw a host lately say of it, one voice a proxy.
 *
 * @param failed proxies whose last sight of it was a failure
 * @param served proxies whose last sight of it was an answer
 * @param youngest age (ms) of the newest failure; infinite without one
 */
record ObservationCount(int failed, int served, double youngest) {
    static final ObservationCount NONE = new ObservationCount(0, 0, Double.POSITIVE_INFINITY);

    ObservationCount plus(HostObservation observation) {
        return observation.failed()
                ? new ObservationCount(failed + 1, served, Math.min(youngest, observation.ageMillis()))
                : new ObservationCount(failed, served + 1, youngest);
    }

    int voices() {
        return failed + served;
    }

    /** Whether so many say that it fails, and they are more than that share of all; one who was served counts from the start. */
    boolean fails(FleetOutlierSettings settings) {
        return failed >= settings.quorum() && failed >= settings.share() * (voices() + 1);
    }

    /** Whether so many were served that it is well again, and at least twice those who were not. */
    boolean serves(FleetOutlierSettings settings) {
        return served >= settings.back() && served >= 2 * failed;
    }
}
