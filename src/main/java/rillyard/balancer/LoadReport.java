package rillyard.balancer;

/**
 * Metrics that a host reports of itself, NaN where one is not reported.
 *
 * @param inFlight requests it holds
 * @param queued requests that wait for service
 * @param busy part of its capacity in use
 * @param latencyMs latency (ms)
 * @param served requests served per second
 * @param failRate part of the requests that failed
 */
public record LoadReport(
        double inFlight, double queued, double busy, double latencyMs, double served, double failRate) {
    /** A report without any metric. */
    public static final LoadReport NONE =
            new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    /** Returns the requests the host holds by whichever metric tells, NaN if none does. */
    public double outstanding() {
        return Double.isNaN(inFlight) ? queued : inFlight;
    }
}
