package rillyard.balancer;

/**
 * The metrics that a host reports of itself, NaN for each one that is not reported.
 *
 * @param inFlight requests that the host holds
 * @param queued requests that wait for service
 * @param busy fraction of the host's capacity in use
 * @param latencyMs latency (ms)
 * @param served requests served per second
 * @param failRate fraction of the requests that failed
 */
public record LoadReport(
        double inFlight, double queued, double busy, double latencyMs, double served, double failRate) {
    /** A report without any metric. */
    public static final LoadReport NONE =
            new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    /**
     * Returns the number of requests the host holds, by the first of {@code inFlight} and {@code queued} that is
     * reported, NaN without both.
     */
    public double outstanding() {
        return Double.isNaN(inFlight) ? queued : inFlight;
    }
}
