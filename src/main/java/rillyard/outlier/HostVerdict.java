package rillyard.outlier;

/** What {@link FleetOutlierDetector} keeps about one host that is reported as failing. Not thread-safe. */
final class HostVerdict {
    private boolean ejected;
    private double changedAt = Double.NEGATIVE_INFINITY;
    private double suspectedSince = Double.NaN;
    private double failureReportedAt;
    private boolean probeFailed;

    boolean isEjected() {
        return ejected;
    }

    /** Returns the time of the last change, before which observations do not count any more. */
    double changedAt() {
        return changedAt;
    }

    /** Ejects or readmits the host; only what is observed from now on counts for the next change. */
    void change(boolean toEjected, double now) {
        ejected = toEjected;
        changedAt = now;
        suspectedSince = Double.NaN;
    }

    /** Returns how long peers have reported failures, NaN if they do not. */
    double suspectedFor(double now) {
        return now - suspectedSince;
    }

    /** Records that peers report failures from {@code since} on; an earlier report is kept. */
    void suspect(double since) {
        suspectedSince = Double.isNaN(suspectedSince) ? since : suspectedSince;
    }

    void clearSuspicion() {
        suspectedSince = Double.NaN;
    }

    /** Returns when a failure was last reported (ms). */
    double failureReportedAt() {
        return failureReportedAt;
    }

    /** Records an evaluation; the first one counts as the report of a failure. */
    void evaluated(boolean failureReported, double now) {
        failureReportedAt = failureReported || failureReportedAt == 0 ? now : failureReportedAt;
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
