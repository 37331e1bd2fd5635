package rillyard.loadgen;

import java.util.ArrayList;
import java.util.List;

/** Draws a plot over time as SVG, with lines, event marks and axes. */
final class SvgPlot {
    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 240;
    private static final int LEFT = 56;
    private static final int RIGHT = 12;
    private static final int TOP = 24;
    private static final int BOTTOM = 24;

    private record Line(String name, String colour, double[][] points) {}

    private record Mark(double seconds, String text) {}

    private final String title;
    private final double endSeconds;
    private final boolean logarithmic;
    private final List<Line> lines = new ArrayList<>();
    private final List<Mark> marks = new ArrayList<>();

    /**
     * Creates an empty plot.
     *
     * @param endSeconds end of the time axis
     * @param logarithmic whether the value axis is logarithmic
     */
    SvgPlot(String title, double endSeconds, boolean logarithmic) {
        this.title = title;
        this.endSeconds = endSeconds;
        this.logarithmic = logarithmic;
    }

    /** Adds a line through points of time in seconds and value. */
    void line(String name, String colour, double[][] points) {
        lines.add(new Line(name, colour, points));
    }

    /** Adds a vertical mark at a time, unless that is beyond the time axis. */
    void mark(double seconds, String text) {
        if (seconds >= 0 && seconds <= endSeconds) {
            marks.add(new Mark(seconds, text));
        }
    }

    /** Returns the SVG element. */
    String svg() {
        double high = 0;
        double low = Double.MAX_VALUE;
        for (Line line : lines) {
            for (double[] point : line.points()) {
                high = Math.max(high, point[1]);
                low = point[1] > 0 ? Math.min(low, point[1]) : low;
            }
        }
        high = high == 0 ? 1 : high;
        double from = logarithmic ? Math.pow(10, Math.floor(Math.log10(Math.min(low, high)))) : 0;
        double to = logarithmic ? Math.pow(10, Math.ceil(Math.log10(high) + 1e-9)) : 1.05 * high;
        StringBuilder out = new StringBuilder(8_192);
        out.append(ReportHtml.format(
                "<svg viewBox=\"0 0 %d %d\" font-family=\"sans-serif\" font-size=\"11\">", WIDTH, HEIGHT));
        out.append(ReportHtml.format(
                "<text x=\"%d\" y=\"15\" font-weight=\"600\">%s</text>", LEFT, ReportHtml.escape(title)));
        legend(out);
        axes(out, from, to);
        for (Mark mark : marks) {
            out.append(ReportHtml.format(
                    "<line x1=\"%1$.1f\" x2=\"%1$.1f\" y1=\"%2$d\" y2=\"%3$d\" stroke=\"#c0392b\" stroke-dasharray=\"3 3\"><title>%4$s</title></line>",
                    x(mark.seconds()), TOP, HEIGHT - BOTTOM, ReportHtml.escape(mark.text())));
        }
        for (Line line : lines) {
            out.append("<polyline fill=\"none\" stroke=\"")
                    .append(line.colour())
                    .append("\" stroke-width=\"1.5\" points=\"");
            for (double[] point : line.points()) {
                if (!logarithmic || point[1] > 0) {
                    out.append(ReportHtml.format("%.1f,%.1f ", x(point[0]), y(point[1], from, to)));
                }
            }
            out.append("\"/>");
        }
        return out.append("</svg>\n").toString();
    }

    private void legend(StringBuilder out) {
        int x = WIDTH - RIGHT;
        for (int i = lines.size() - 1; i >= 0; i--) {
            Line line = lines.get(i);
            out.append(ReportHtml.format(
                    "<text x=\"%d\" y=\"15\" text-anchor=\"end\" fill=\"%s\">%s</text>",
                    x, line.colour(), ReportHtml.escape(line.name())));
            x -= 14 + 6 * line.name().length();
        }
    }

    private void axes(StringBuilder out, double from, double to) {
        List<Double> levels = new ArrayList<>();
        if (logarithmic) {
            for (double level = from; level <= to * 1.001; level *= 10) {
                levels.add(level);
            }
        } else {
            double step = roundStep(to / 4);
            for (double level = 0; level <= to; level += step) {
                levels.add(level);
            }
        }
        for (double level : levels) {
            double y = y(level, from, to);
            out.append(ReportHtml.format(
                    "<line x1=\"%d\" x2=\"%d\" y1=\"%3$.1f\" y2=\"%3$.1f\" stroke=\"#e4e4e4\"/>",
                    LEFT, WIDTH - RIGHT, y));
            out.append(ReportHtml.format(
                    "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\" fill=\"#666\">%s</text>",
                    LEFT - 6, y + 4, level == Math.rint(level) ? Long.toString((long) level) : Double.toString(level)));
        }
        double step = roundStep(endSeconds / 8);
        for (double seconds = 0; seconds <= endSeconds; seconds += step) {
            out.append(ReportHtml.format(
                    "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\" fill=\"#666\">%.4g s</text>",
                    x(seconds), HEIGHT - 8, seconds));
        }
    }

    private static double roundStep(double step) {
        double power = Math.pow(10, Math.floor(Math.log10(step)));
        double mantissa = step / power;
        return power * (mantissa <= 1 ? 1 : mantissa <= 2 ? 2 : mantissa <= 5 ? 5 : 10);
    }

    private double x(double seconds) {
        return LEFT + seconds / endSeconds * (WIDTH - LEFT - RIGHT);
    }

    private double y(double value, double from, double to) {
        double share = logarithmic
                ? Math.log(Math.max(value, from) / from) / Math.log(to / from)
                : (value - from) / (to - from);
        return HEIGHT - BOTTOM - share * (HEIGHT - TOP - BOTTOM);
    }
}
