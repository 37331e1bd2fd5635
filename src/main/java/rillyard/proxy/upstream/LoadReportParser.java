package rillyard.proxy.upstream;

import java.util.Arrays;
import rillyard.balancer.LoadReport;

/** Reads load reports: {@code inflight=7,queue=2,util=0.61}; what is not known is skipped. */
public final class LoadReportParser {
    private LoadReportParser() {}

    /** The report in {@code text}, or null where there is none that can be read. */
    public static LoadReport read(String text) {
        if (text == null) {
            return null;
        }
        double[] v = new double[6];
        Arrays.fill(v, Double.NaN);
        boolean any = false;
        for (String pair : text.split(",", 16)) {
            int equals = pair.indexOf('=');
            int field = equals < 0 ? -1 : field(pair.substring(0, equals).trim());
            if (field >= 0) {
                try {
                    double d = Double.parseDouble(pair.substring(equals + 1).trim());
                    if (Double.isFinite(d) && d >= 0) {
                        v[field] = d;
                        any = true;
                    }
                } catch (NumberFormatException e) {
                    // one figure that can't be read does not spoil the others
                }
            }
        }
        return any ? new LoadReport(v[0], v[1], v[2], v[3], v[4], v[5]) : null;
    }

    private static int field(String name) {
        return switch (name) {
            case "rif", "inflight" -> 0;
            case "q", "queue" -> 1;
            case "busy", "util" -> 2;
            case "lat_ms", "latency_ms" -> 3;
            case "rate", "qps" -> 4;
            case "fail_rate", "eps" -> 5;
            default -> -1;
        };
    }
}
