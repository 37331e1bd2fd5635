package rillyard.balancer;

/** Figures a host reports of itself; {@code NaN} where a figure is not reported. */
public record LoadReport(
        double inFlight, double queued, double busy, double latencyMs, double served, double failRate) {
    /** A report in which nothing is known. */
    public static final LoadReport NONE =
            new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    /** Requests the host holds, from whichever figure tells it, or {@code NaN}. */
    public double outstanding() {
        return Double.isNaN(inFlight) ? queued : inFlight;
    }
}
