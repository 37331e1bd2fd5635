package rillyard.loadgen;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** A report as one page that needs nothing else: tables, and plots over time as SVG. */
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

    /** The page. */
    public static String of(RunReport r, String title) {
        StringBuilder s = new StringBuilder(32_768);
        s.append("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(title))
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body>");
        s.append("<h1>").append(escape(title)).append("</h1>");
        s.append("<p>")
                .append(format("%.1f s, seed %d, %d connections opened", r.seconds(), r.seed(), r.connections()))
                .append(format(
                        ". Own sends late by p50 %.3f, p99 %.3f, max %.2f ms.",
                        r.lateness().p50(), r.lateness().p99(), r.lateness().max()))
                .append("</p>");
        if (!r.valid()) {
            s.append("<p class=\"bad\">Invalid run: ")
                    .append(escape(r.invalidBecause()))
                    .append("</p>");
        }
        if (r.interrupted()) {
            s.append("<p class=\"bad\">Interrupted: what was under way was left.</p>");
        }
        table(s, r);
        plots(s, r);
        marks(s, r.marks());
        return s.append("</body></html>\n").toString();
    }

    private static void table(StringBuilder s, RunReport r) {
        s.append("<table><tr>");
        for (String h : List.of(
                "class, tenant",
                "offered",
                "rate/s",
                "in aim %",
                "late %",
                "refused %",
                "failed",
                "lost",
                "left",
                "p50 ms",
                "p90",
                "p99",
                "p99.9",
                "max",
                "tries")) {
            s.append("<th>").append(h).append("</th>");
        }
        s.append("</tr>");
        r.rows().forEach(row -> row(s, row, ""));
        row(s, r.total(), " class=\"all\"");
        s.append("</table><p>Latency counts from the time at which the schedule had the request be sent.")
                .append(format(
                        " From the real send: p50 %.2f, p99 %.2f, p99.9 %.2f, max %.2f ms.</p>",
                        r.total().service().p50(),
                        r.total().service().p99(),
                        r.total().service().p999(),
                        r.total().service().max()));
    }

    private static void row(StringBuilder s, RunReport.Row r, String mark) {
        double n = Math.max(1, r.offered()) / 100.0;
        s.append("<tr")
                .append(mark)
                .append("><td>")
                .append(escape(r.tenant() == null ? r.type() : r.type() + ", " + r.tenant()))
                .append("</td>");
        for (String cell : new String[] {
            Long.toString(r.offered()),
            format("%.1f", r.rate()),
            format("%.2f", r.inAim() / n),
            format("%.2f", r.late() / n),
            format("%.2f", r.refused() / n),
            Long.toString(r.failed()),
            Long.toString(r.lost()),
            Long.toString(r.abandoned()),
            format("%.2f", r.latency().p50()),
            format("%.2f", r.latency().p90()),
            format("%.2f", r.latency().p99()),
            format("%.2f", r.latency().p999()),
            format("%.2f", r.latency().max()),
            format("%.2f", r.triesPerRequest())
        }) {
            s.append("<td>").append(cell).append("</td>");
        }
        s.append("</tr>");
    }

    private static void plots(StringBuilder s, RunReport r) {
        double width = r.stretchSeconds();
        double end = Math.max(width, r.series().size() * width);
        SvgPlot latency = new SvgPlot("latency, ms (logarithmic), by when requests were to be sent", end, true);
        latency.line("p50", "#2c7fb8", points(r, RunReport.Point::p50));
        latency.line("p90", "#41ae76", points(r, RunReport.Point::p90));
        latency.line("p99", "#e6862a", points(r, RunReport.Point::p99));
        latency.line("max", "#bbbbbb", points(r, RunReport.Point::max));
        SvgPlot rate = new SvgPlot("requests a second", end, false);
        rate.line("offered", "#222222", points(r, p -> p.offered() / width));
        rate.line("in aim", "#41ae76", points(r, p -> p.inAim() / width));
        SvgPlot rest = new SvgPlot("not in aim, a second", end, false);
        rest.line("late", "#e6862a", points(r, p -> p.late() / width));
        rest.line("refused", "#2c7fb8", points(r, p -> p.refused() / width));
        rest.line("failed, lost, left", "#c0392b", points(r, p -> p.failed() / width));
        for (SvgPlot p : List.of(latency, rate, rest)) {
            r.marks().forEach(m -> p.mark(m.at(), m.host() + " " + m.what()));
            s.append(p.svg());
        }
    }

    private static double[][] points(RunReport r, ToDoubleFunction<RunReport.Point> value) {
        return r.series().stream()
                .map(p -> new double[] {p.at() + r.stretchSeconds() / 2, value.applyAsDouble(p)})
                .toArray(double[][]::new);
    }

    private static void marks(StringBuilder s, List<RunReport.Mark> marks) {
        if (marks.isEmpty()) {
            return;
        }
        s.append("<h2>What happened to hosts</h2><table><tr><th>s</th><th>host</th><th>what</th></tr>");
        for (RunReport.Mark m : marks) {
            s.append("<tr><td>")
                    .append(format("%.2f", m.at()))
                    .append("</td><td>")
                    .append(escape(m.host()))
                    .append("</td><td>")
                    .append(escape(m.what()))
                    .append("</td></tr>");
        }
        s.append("</table>");
    }

    static String format(String f, Object... args) {
        return String.format(Locale.ROOT, f, args);
    }

    static String escape(String s) {
        return s.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
    }
}
