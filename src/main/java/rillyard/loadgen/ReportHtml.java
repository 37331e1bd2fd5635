package rillyard.loadgen;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Formats a report as a self-contained HTML page with tables and SVG plots over time. */
public final class ReportHtml {
    private static final String STYLE =
            """
      body{font:14px/1.5 system-ui,sans-serif;margin:2em auto;max-width:1040px;color:#222}
      table{border-collapse:collapse;font-variant-numeric:tabular-nums;width:100%}
      th,td{padding:2px 8px;text-align:right;border-bottom:1px solid #ddd}
      th:first-child,td:first-child{text-align:left}
      tr.all td{font-weight:600}
      svg{width:100%;height:auto;background:#fafafa;border:1px solid #ddd;margin:4px 0 18px}
      .bad{background:#fbe3e0;border:1px solid #c0392b;padding:6px 10px}
      .key span{display:inline-block;width:10px;height:10px;margin:0 4px 0 14px}
      """;

    private ReportHtml() {}

    /** Returns the page. */
    public static String of(RunReport report, String title) {
        StringBuilder out = new StringBuilder(32_768);
        out.append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(title))
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body>");
        out.append("<h1>").append(escape(title)).append("</h1>");
        out.append("<p>")
                .append(format(
                        "%.1f s, seed %d, %d connections opened",
                        report.seconds(), report.seed(), report.connections()))
                .append(format(
                        ". Lateness of the generator's sends: p50 %.3f, p99 %.3f, max %.2f ms.",
                        report.lateness().p50(),
                        report.lateness().p99(),
                        report.lateness().max()))
                .append("</p>");
        if (!report.valid()) {
            out.append("<p class=\"bad\">Invalid run: ")
                    .append(escape(report.invalidBecause()))
                    .append("</p>");
        }
        if (report.interrupted()) {
            out.append("<p class=\"bad\">Interrupted: open requests were abandoned.</p>");
        }
        table(out, report);
        plots(out, report);
        marks(out, report.marks());
        return out.append("</body></html>\n").toString();
    }

    private static void table(StringBuilder out, RunReport report) {
        out.append("<table><tr>");
        for (String heading : List.of(
                "class, tenant",
                "offered",
                "rate/s",
                "in time %",
                "late %",
                "rejected %",
                "failed",
                "lost",
                "abandoned",
                "p50 ms",
                "p90",
                "p99",
                "p99.9",
                "max",
                "attempts")) {
            out.append("<th>").append(heading).append("</th>");
        }
        out.append("</tr>");
        report.rows().forEach(row -> row(out, row, ""));
        row(out, report.total(), " class=\"all\"");
        out.append("</table><p>Latency counts from the scheduled send time.")
                .append(format(
                        " From the actual send: p50 %.2f, p99 %.2f, p99.9 %.2f, max %.2f ms.</p>",
                        report.total().service().p50(),
                        report.total().service().p99(),
                        report.total().service().p999(),
                        report.total().service().max()));
    }

    private static void row(StringBuilder out, RunReport.Row row, String attribute) {
        double percent = Math.max(1, row.offered()) / 100.0;
        out.append("<tr")
                .append(attribute)
                .append("><td>")
                .append(escape(row.tenant() == null ? row.type() : row.type() + ", " + row.tenant()))
                .append("</td>");
        for (String cell : new String[] {
            Long.toString(row.offered()),
            format("%.1f", row.rate()),
            format("%.2f", row.inAim() / percent),
            format("%.2f", row.late() / percent),
            format("%.2f", row.refused() / percent),
            Long.toString(row.failed()),
            Long.toString(row.lost()),
            Long.toString(row.abandoned()),
            format("%.2f", row.latency().p50()),
            format("%.2f", row.latency().p90()),
            format("%.2f", row.latency().p99()),
            format("%.2f", row.latency().p999()),
            format("%.2f", row.latency().max()),
            format("%.2f", row.triesPerRequest())
        }) {
            out.append("<td>").append(cell).append("</td>");
        }
        out.append("</tr>");
    }

    private static void plots(StringBuilder out, RunReport report) {
        double width = report.stretchSeconds();
        double end = Math.max(width, report.series().size() * width);
        SvgPlot latency = new SvgPlot("latency, ms (logarithmic), by scheduled send time", end, true);
        latency.line("p50", "#2c7fb8", points(report, RunReport.Point::p50));
        latency.line("p90", "#41ae76", points(report, RunReport.Point::p90));
        latency.line("p99", "#e6862a", points(report, RunReport.Point::p99));
        latency.line("max", "#bbbbbb", points(report, RunReport.Point::max));
        SvgPlot rate = new SvgPlot("requests per second", end, false);
        rate.line("offered", "#222222", points(report, point -> point.offered() / width));
        rate.line("in time", "#41ae76", points(report, point -> point.inAim() / width));
        SvgPlot outsideObjective = new SvgPlot("not in time, per second", end, false);
        outsideObjective.line("late", "#e6862a", points(report, point -> point.late() / width));
        outsideObjective.line("rejected", "#2c7fb8", points(report, point -> point.refused() / width));
        outsideObjective.line("failed, lost, abandoned", "#c0392b", points(report, point -> point.failed() / width));
        for (SvgPlot plot : List.of(latency, rate, outsideObjective)) {
            report.marks().forEach(mark -> plot.mark(mark.at(), mark.host() + " " + mark.what()));
            out.append(plot.svg());
        }
    }

    private static double[][] points(RunReport report, ToDoubleFunction<RunReport.Point> value) {
        return report.series().stream()
                .map(point -> new double[] {point.at() + report.stretchSeconds() / 2, value.applyAsDouble(point)})
                .toArray(double[][]::new);
    }

    private static void marks(StringBuilder out, List<RunReport.Mark> marks) {
        if (marks.isEmpty()) {
            return;
        }
        out.append("<h2>Events of hosts</h2><table><tr><th>s</th><th>host</th><th>event</th></tr>");
        for (RunReport.Mark mark : marks) {
            out.append("<tr><td>")
                    .append(format("%.2f", mark.at()))
                    .append("</td><td>")
                    .append(escape(mark.host()))
                    .append("</td><td>")
                    .append(escape(mark.what()))
                    .append("</td></tr>");
        }
        out.append("</table>");
    }

    /** Formats with the root locale, so that numbers are the same on every machine. */
    static String format(String pattern, Object... args) {
        return String.format(Locale.ROOT, pattern, args);
    }

    /** Escapes text for HTML content and attribute values. */
    static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
