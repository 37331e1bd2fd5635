package rillyard.balancer;

/** What {@link LoadEstimator}, the only writer but for the sends, has recorded of one host: plain data. Not thread-safe. */
final class HostLoad {
    private final DecayingAverage slowness;
    private int samples;
    private LoadReport report = LoadReport.NONE;
    private double reportedAtMillis = Double.NEGATIVE_INFINITY;
    private int sentSinceReport;

    /** Creates the load of a host without a report; {@code slownessDecayMillis} is a time constant (ms). */
    HostLoad(double slownessDecayMillis) {
        slowness = new DecayingAverage(slownessDecayMillis, 1, Double.NEGATIVE_INFINITY);
    }

    /** Returns the statistic of the host's latency relative to the mean. */
    DecayingAverage slowness() {
        return slowness;
    }

    /** Counts an answer and returns the number of answers so far. */
    int countSample() {
        return ++samples;
    }

    /** Returns the requests that the last report told of, NaN without one. */
    double reportedOutstanding() {
        return report.outstanding();
    }

    /** Returns when the last report came (ms), negative infinity without one. */
    double reportedAtMillis() {
        return reportedAtMillis;
    }

    int sentSinceReport() {
        return sentSinceReport;
    }

    /** Returns the requests the last report told of and those sent since, NaN without a report. */
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

    /** Forgets the load report, which a former process of the host made. */
    void reset() {
        recordReport(LoadReport.NONE, Double.NEGATIVE_INFINITY);
    }
}
