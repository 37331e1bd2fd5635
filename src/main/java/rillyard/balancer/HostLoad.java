package rillyard.balancer;

/**
 * The load statistics of one host, without decision logic. {@link LoadEstimator} writes them, {@link HostState} records
 * each send, and {@link HostSet} resets them for a new process. Not thread-safe.
 */
final class HostLoad {
    private final DecayingAverage slowness;
    private int samples;
    private LoadReport report = LoadReport.NONE;
    private double reportedAtMillis = Double.NEGATIVE_INFINITY;
    private int sentSinceReport;

    /** Creates the statistics of a host without a load report; {@code slownessDecayMillis} is a time constant (ms). */
    HostLoad(double slownessDecayMillis) {
        slowness = new DecayingAverage(slownessDecayMillis, 1, Double.NEGATIVE_INFINITY);
    }

    /** Returns the average of the host's latency relative to the mean over all hosts. */
    DecayingAverage slowness() {
        return slowness;
    }

    /** Counts a response and returns the number of responses so far. */
    int countSample() {
        return ++samples;
    }

    /** Returns the number of outstanding requests in the last report, NaN without one. */
    double reportedOutstanding() {
        return report.outstanding();
    }

    /** Returns when the last report arrived (ms), negative infinity without one. */
    double reportedAtMillis() {
        return reportedAtMillis;
    }

    int sentSinceReport() {
        return sentSinceReport;
    }

    /** Returns the number of outstanding requests in the last report plus those sent since, NaN without a report. */
    double knownOutstanding() {
        return report.outstanding() + sentSinceReport;
    }

    void recordReport(LoadReport newReport, double nowMillis) {
        report = newReport;
        reportedAtMillis = nowMillis;
        sentSinceReport = 0;
    }

    void recordSend() {
        sentSinceReport++;
    }

    /** Discards the load report, which is that of a previous process of the host. */
    void reset() {
        recordReport(LoadReport.NONE, Double.NEGATIVE_INFINITY);
    }
}
