package rillyard.loadgen;

import java.util.Locale;

/** A report as lines of text for a terminal. */
public final class ReportTable {
    private static final String HEAD = "%-24s %9s %8s %7s %7s %7s %6s %6s %6s %9s %9s %9s %9s %9s %6s%n";
    private static final String LINE =
            "%-24s %9d %8.1f %6.2f%% %6.2f%% %6.2f%% %6d %6d %6d %9.2f %9.2f %9.2f %9.2f %9.2f %6.2f%n";

    private ReportTable() {}

    /** The table, the generator's own lateness and what makes the run invalid. */
    public static String of(RunReport r) {
        StringBuilder s = new StringBuilder();
        s.append(String.format(
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
        r.rows().forEach(row -> s.append(line(row)));
        if (r.rows().size() > 1) {
            s.append(line(r.total()));
        }
        s.append(String.format(
                Locale.ROOT,
                "service time from the real send: p50 %.2f  p99 %.2f  p99.9 %.2f  max %.2f ms%n",
                r.total().service().p50(),
                r.total().service().p99(),
                r.total().service().p999(),
                r.total().service().max()));
        s.append(String.format(
                Locale.ROOT,
                "%.1f s, %d connections opened; own sends late by p50 %.3f  p99 %.3f  max %.2f ms%n",
                r.seconds(),
                r.connections(),
                r.lateness().p50(),
                r.lateness().p99(),
                r.lateness().max()));
        if (r.total().notSent() > 0) {
            s.append(r.total().notSent()).append(" requests were not sent\n");
        }
        if (r.surplus() > 0) {
            s.append(r.surplus()).append(" times more came than the one answer\n");
        }
        if (r.interrupted()) {
            s.append("interrupted: what was under way was left\n");
        }
        if (!r.valid()) {
            s.append("INVALID: ").append(r.invalidBecause()).append('\n');
        }
        return s.toString();
    }

    private static String line(RunReport.Row r) {
        double n = Math.max(1, r.offered()) / 100.0;
        return String.format(
                Locale.ROOT,
                LINE,
                r.tenant() == null ? r.type() : r.type() + ", " + r.tenant(),
                r.offered(),
                r.rate(),
                r.inAim() / n,
                r.late() / n,
                r.refused() / n,
                r.failed(),
                r.lost(),
                r.abandoned(),
                r.latency().p50(),
                r.latency().p90(),
                r.latency().p99(),
                r.latency().p999(),
                r.latency().max(),
                r.triesPerRequest());
    }
}
