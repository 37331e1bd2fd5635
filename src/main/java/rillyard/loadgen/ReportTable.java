package rillyard.loadgen;

import java.util.Locale;

/** A report as lines of text for a terminal. */
public final class ReportTable {
    private static final String HEAD = "%-24s %9s %8s %7s %7s %7s %6s %6s %6s %9s %9s %9s %9s %9s %6s%n";
    private static final String LINE =
            "%-24s %9d %8.1f %6.2f%% %6.2f%% %6.2f%% %6d %6d %6d %9.2f %9.2f %9.2f %9.2f %9.2f %6.2f%n";

    private ReportTable() {}

    /** The table, the generator's own lateness and what makes the run invalid. */
    public static String of(RunReport report) {
        StringBuilder out = new StringBuilder();
        out.append(String.format(
                HEAD,
                "class, tenant",
                "offered",
                "rate/s",
                "in aim",
                "late",
                "refused",
                "failed",
                "lost",
                "left",
                "p50 ms",
                "p90",
                "p99",
                "p99.9",
                "max",
                "tries"));
        report.rows().forEach(row -> out.append(line(row)));
        if (report.rows().size() > 1) {
            out.append(line(report.total()));
        }
        out.append(String.format(
                Locale.ROOT,
                "service time from the real send: p50 %.2f  p99 %.2f  p99.9 %.2f  max %.2f ms%n",
                report.total().service().p50(),
                report.total().service().p99(),
                report.total().service().p999(),
                report.total().service().max()));
        out.append(String.format(
                Locale.ROOT,
                "%.1f s, %d connections opened; own sends late by p50 %.3f  p99 %.3f  max %.2f ms%n",
                report.seconds(),
                report.connections(),
                report.lateness().p50(),
                report.lateness().p99(),
                report.lateness().max()));
        if (report.total().notSent() > 0) {
            out.append(report.total().notSent()).append(" requests were not sent\n");
        }
        if (report.surplus() > 0) {
            out.append(report.surplus()).append(" times more came than the one answer\n");
        }
        if (report.interrupted()) {
            out.append("interrupted: what was under way was left\n");
        }
        if (!report.valid()) {
            out.append("INVALID: ").append(report.invalidBecause()).append('\n');
        }
        return out.toString();
    }

    private static String line(RunReport.Row row) {
        double n = Math.max(1, row.offered()) / 100.0;
        return String.format(
                Locale.ROOT,
                LINE,
                row.tenant() == null ? row.type() : row.type() + ", " + row.tenant(),
                row.offered(),
                row.rate(),
                row.inAim() / n,
                row.late() / n,
                row.refused() / n,
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
