package rillyard.loadgen;

import java.util.Locale;

/** Formats a report as text for a terminal. */
public final class ReportTable {
    private ReportTable() {}

    /**
     * Returns a row for each class and tenant, the service time, the generator's own lateness, and the reasons why
     * the run is invalid.
     */
    public static String of(RunReport report) {
        StringBuilder out = new StringBuilder();
        out.append(header());
        report.rows().forEach(row -> out.append(line(row)));
        if (report.rows().size() > 1) {
            out.append(line(report.total()));
        }
        appendServiceTime(report.total().service(), out);
        appendLateness(report, out);
        appendProblems(report, out);
        return out.toString();
    }

    private static String header() {
        return String.format(
                "%-24s %9s %8s %7s %7s %8s %6s %6s %9s %9s %9s %9s %9s %9s %8s%n",
                "class, tenant",
                "offered",
                "rate/s",
                "in time",
                "late",
                "rejected",
                "failed",
                "lost",
                "abandoned",
                "p50 ms",
                "p90",
                "p99",
                "p99.9",
                "max",
                "attempts");
    }

    private static void appendServiceTime(RunReport.Quantiles service, StringBuilder out) {
        out.append(String.format(
                Locale.ROOT,
                "service time, from the actual send: p50 %.2f  p99 %.2f  p99.9 %.2f  max %.2f ms%n",
                service.p50(),
                service.p99(),
                service.p999(),
                service.max()));
    }

    private static void appendLateness(RunReport report, StringBuilder out) {
        out.append(String.format(
                Locale.ROOT,
                "%.1f s, %d connections opened; lateness of the generator's sends: p50 %.3f  p99 %.3f  max %.2f ms%n",
                report.seconds(),
                report.connections(),
                report.lateness().p50(),
                report.lateness().p99(),
                report.lateness().max()));
    }

    private static void appendProblems(RunReport report, StringBuilder out) {
        if (report.total().notSent() > 0) {
            out.append(report.total().notSent()).append(" requests were not sent\n");
        }
        if (report.surplus() > 0) {
            out.append(report.surplus()).append(" unexpected responses\n");
        }
        if (report.interrupted()) {
            out.append("interrupted: open requests were abandoned\n");
        }
        if (!report.valid()) {
            out.append("INVALID: ").append(report.invalidBecause()).append('\n');
        }
    }

    private static String line(RunReport.Row row) {
        double percent = Math.max(1, row.offered()) / 100.0;
        return String.format(
                Locale.ROOT,
                "%-24s %9d %8.1f %6.2f%% %6.2f%% %7.2f%% %6d %6d %9d %9.2f %9.2f %9.2f %9.2f %9.2f %8.2f%n",
                row.tenant() == null ? row.type() : row.type() + ", " + row.tenant(),
                row.offered(),
                row.rate(),
                row.inAim() / percent,
                row.late() / percent,
                row.refused() / percent,
                row.failed(),
                row.lost(),
                row.abandoned(),
                row.latency().p50(),
                row.latency().p90(),
                row.latency().p99(),
                row.latency().p999(),
                row.latency().max(),
                row.triesPerRequest());
    }
}
