package rillyard.outlier;

/**
 * The observations of one host, one for each proxy.
 *
 * @param failed proxies whose last attempt there failed
 * @param served proxies whose last attempt there was answered
 * @param newestFailureAge age (ms) of the newest failure, infinite without one
 */
record ObservationCount(int failed, int served, double newestFailureAge) {
    static final ObservationCount NONE = new ObservationCount(0, 0, Double.POSITIVE_INFINITY);

    ObservationCount plus(HostObservation observation) {
        return observation.failed()
                ? new ObservationCount(failed + 1, served, Math.min(newestFailureAge, observation.ageMillis()))
                : new ObservationCount(failed, served + 1, newestFailureAge);
    }

    /** Whether a quorum has seen it fail, and the required share of all; one success is assumed from the start. */
    boolean confirmsFailure(FleetOutlierSettings settings) {
        return failed >= settings.quorum() && failed >= settings.failureShare() * (failed + served + 1);
    }

    /** Whether it serves enough proxies again, and twice as many as it fails. */
    boolean confirmsRecovery(FleetOutlierSettings settings) {
        return served >= settings.recoveryQuorum() && served >= 2 * failed;
    }
}
