package rillyard.outlier;

/** State of the {@link FleetOutlierDetector} for one host that is reported as failing. Not thread-safe. */
final class HostEjectionState {
    private boolean ejected;
    private double changedAtMillis = Double.NEGATIVE_INFINITY;
    private double suspectedSinceMillis = Double.NaN;
    private double failureReportedAtMillis;
    private boolean probeFailed;

    boolean isEjected() {
        return ejected;
    }

    /** Returns the time of the last ejection or readmission; earlier observations do not count any more. */
    double changedAtMillis() {
        return changedAtMillis;
    }

    /** Ejects or readmits the host; only observations from now on count for the next change. */
    void setEjected(boolean isEjected, double nowMillis) {
        ejected = isEjected;
        changedAtMillis = nowMillis;
        suspectedSinceMillis = Double.NaN;
    }

    /** Returns how long the host has been suspected, negative before that, or NaN if peers report no failures. */
    double suspectedMillis(double nowMillis) {
        return nowMillis - suspectedSinceMillis;
    }

    /** Suspects the host from {@code sinceMillis} on, as peers report failures; an earlier suspicion is kept. */
    void suspect(double sinceMillis) {
        suspectedSinceMillis = Double.isNaN(suspectedSinceMillis) ? sinceMillis : suspectedSinceMillis;
    }

    void clearSuspicion() {
        suspectedSinceMillis = Double.NaN;
    }

    /** Returns when a failure was last reported. */
    double failureReportedAtMillis() {
        return failureReportedAtMillis;
    }

    /** Records an evaluation; the first one counts as the report of a failure. */
    void onEvaluated(boolean failureReported, double nowMillis) {
        failureReportedAtMillis = failureReported || failureReportedAtMillis == 0 ? nowMillis : failureReportedAtMillis;
    }

    /** Records a failed attempt of this proxy at the ejected host. */
    void onProbeFailed() {
        probeFailed = true;
    }

    /** Returns whether a probe has failed since the last call. */
    boolean takeProbeFailed() {
        boolean failed = probeFailed;
        probeFailed = false;
        return failed;
    }
}
