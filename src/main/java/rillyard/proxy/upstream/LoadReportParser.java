package rillyard.proxy.upstream;

import rillyard.balancer.LoadReport;

/** Parses the load reports of hosts, such as {@code inflight=7,queue=2,util=0.61}. */
public final class LoadReportParser {
    private static final int MAX_PAIRS = 16;

    private double inFlight = Double.NaN;
    private double queued = Double.NaN;
    private double utilization = Double.NaN;
    private double latencyMillis = Double.NaN;
    private double requestRate = Double.NaN;
    private double failureRate = Double.NaN;
    private boolean empty = true;

    private LoadReportParser() {}

    /**
     * Parses a report. Unknown keys and values that are not finite numbers of at least 0 are skipped.
     *
     * @param text the header's value, or null if the response had none
     * @return the report, or null if the text holds no known value
     */
    public static LoadReport parse(String text) {
        if (text == null) {
            return null;
        }
        LoadReportParser parser = new LoadReportParser();
        for (String pair : text.split(",", MAX_PAIRS)) {
            parser.readPair(pair);
        }
        return parser.empty ? null : parser.report();
    }

    private void readPair(String pair) {
        int equals = pair.indexOf('=');
        if (equals < 0) {
            return;
        }
        try {
            double value = Double.parseDouble(pair.substring(equals + 1).trim());
            if (Double.isFinite(value) && value >= 0) {
                readValue(pair.substring(0, equals).trim(), value);
            }
        } catch (NumberFormatException ignored) {
            // a value that is not a number does not invalidate the others
        }
    }

    private void readValue(String key, double value) {
        switch (key) {
            case "rif", "inflight" -> inFlight = value;
            case "q", "queue" -> queued = value;
            case "busy", "util" -> utilization = value;
            case "lat_ms", "latency_ms" -> latencyMillis = value;
            case "rate", "qps" -> requestRate = value;
            case "fail_rate", "eps" -> failureRate = value;
            default -> {
                return;
            }
        }
        empty = false;
    }

    private LoadReport report() {
        return new LoadReport(inFlight, queued, utilization, latencyMillis, requestRate, failureRate);
    }
}
