package rillyard.outlier;

/**
 * Counts of the observations of one host, one for each proxy.
 *
 * @param failed number of proxies whose last attempt at the host failed
 * @param served number of proxies whose last attempt at the host succeeded
 * @param newestFailureAgeMillis age of the newest failure, infinite if there is none
 */
record ObservationCount(int failed, int served, double newestFailureAgeMillis) {
    static final ObservationCount NONE = new ObservationCount(0, 0, Double.POSITIVE_INFINITY);

    ObservationCount plus(HostObservation observation) {
        return observation.failed()
                ? new ObservationCount(failed + 1, served, Math.min(newestFailureAgeMillis, observation.ageMillis()))
                : new ObservationCount(failed, served + 1, newestFailureAgeMillis);
    }

    /** Returns whether a quorum and the required share of proxies saw the host fail; one success is always assumed. */
    boolean confirmsFailure(FleetOutlierSettings settings) {
        return failed >= settings.quorum() && failed >= settings.failureShare() * (failed + served + 1);
    }

    /** Returns whether the host serves enough proxies again, and at least twice as many as it fails. */
    boolean confirmsRecovery(FleetOutlierSettings settings) {
        return served >= settings.recoveryQuorum() && served >= 2 * failed;
    }
}
