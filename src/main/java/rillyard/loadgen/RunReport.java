package rillyard.loadgen;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Result of a load run. Latency counts from the scheduled send time and service time from the actual first send, both
 * in milliseconds and for served requests only. The names of the components are those of {@code report.json}.
 *
 * @param valid whether the generator kept its schedule and sent every request
 * @param invalidBecause reason why the run is invalid, or null
 * @param interrupted whether the run ended before its schedule
 * @param seed seed of the plan
 * @param seconds time in seconds from the first arrival to the end of the last request
 * @param cpuSeconds CPU time of the generator's process during the run, in seconds
 * @param lateness lateness of the generator's own sends
 * @param surplus number of unexpected responses
 * @param connections number of connections opened
 * @param rows results by class and tenant
 * @param total results of all requests
 * @param stretchSeconds length of one interval of {@code series}, in seconds
 * @param series results over time, by scheduled send time
 * @param marks events of hosts during the run; empty without the hosts' request log
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record RunReport(
        boolean valid,
        String invalidBecause,
        boolean interrupted,
        long seed,
        double seconds,
        double cpuSeconds,
        Quantiles lateness,
        long surplus,
        long connections,
        List<Row> rows,
        Row total,
        double stretchSeconds,
        List<Point> series,
        List<Mark> marks) {

    /** Quantiles in milliseconds; all 0 if nothing was recorded. */
    public record Quantiles(long count, double mean, double p50, double p90, double p99, double p999, double max) {
        /** Returns the quantiles of a histogram in microseconds. */
        static Quantiles of(Histogram histogram) {
            return new Quantiles(
                    histogram.getTotalCount(),
                    toMillis(histogram.getTotalCount() == 0 ? 0 : histogram.getMean()),
                    millisAt(histogram, 50),
                    millisAt(histogram, 90),
                    millisAt(histogram, 99),
                    millisAt(histogram, 99.9),
                    toMillis((double) histogram.getMaxValue()));
        }

        private static double millisAt(Histogram histogram, double percentile) {
            return toMillis((double) histogram.getValueAtPercentile(percentile));
        }

        private static double toMillis(double micros) {
            return Math.round(micros) / 1_000.0;
        }
    }

    /** Results of one class and tenant. {@code offered} is the sum of the seven outcomes that follow {@code rate}. */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Row(
            String type,
            String tenant,
            long offered,
            double rate,
            long inAim,
            long late,
            long refused,
            long failed,
            long lost,
            long abandoned,
            long notSent,
            double triesPerRequest,
            Quantiles latency,
            Quantiles service) {}

    /** Results of one interval; {@code at} is its start in seconds from the start of the run. */
    public record Point(
            double at,
            long offered,
            long inAim,
            long late,
            long refused,
            long failed,
            double p50,
            double p90,
            double p99,
            double max) {}

    /** An event of a host; {@code at} is in seconds from the start of the run. */
    public record Mark(double at, String host, String what) {}

    /** Returns the report of a run with these statistics. */
    static RunReport of(
            LoadPlan plan,
            RunStatistics statistics,
            boolean interrupted,
            double cpuSeconds,
            long connections,
            List<Mark> marks) {
        String invalidBecause = null;
        Quantiles lateness = Quantiles.of(statistics.lateness());
        RunStatistics.ClassStatistics all = statistics.total();
        if (lateness.p99() > plan.maxLatenessMillis()) {
            invalidBecause = "the 99th percentile of the lateness of sends was " + lateness.p99()
                    + " ms, expected at most " + plan.maxLatenessMillis()
                    + " ms: the generator could not keep its schedule";
        } else if (all.notSent > 0) {
            invalidBecause = all.notSent + " requests were not sent because the limit of " + plan.maxOpen()
                    + " open requests was reached: the schedule was not kept";
        }
        double seconds = Math.max(1e-9, statistics.seconds());
        List<Row> rows = new ArrayList<>();
        statistics.rows().forEach(row -> rows.add(row(row, seconds)));
        List<Point> series = new ArrayList<>();
        for (RunStatistics.IntervalStatistics intervalStatistics : statistics.intervals()) {
            series.add(point(series.size() * statistics.intervalSeconds(), intervalStatistics));
        }
        return new RunReport(
                invalidBecause == null,
                invalidBecause,
                interrupted,
                plan.seed(),
                seconds,
                cpuSeconds,
                lateness,
                statistics.unexpectedResponses(),
                connections,
                rows,
                row(all, seconds),
                statistics.intervalSeconds(),
                series,
                List.copyOf(marks));
    }

    private static Row row(RunStatistics.ClassStatistics statistics, double seconds) {
        return new Row(
                statistics.requestClass == null ? "all" : statistics.requestClass.name(),
                statistics.tenant,
                statistics.offered,
                Math.round(100 * statistics.offered / seconds) / 100.0,
                statistics.withinObjective,
                statistics.late,
                statistics.rejected,
                statistics.failed,
                statistics.lost,
                statistics.abandoned,
                statistics.notSent,
                statistics.offered == 0 ? 0 : Math.round(1_000.0 * statistics.attempts / statistics.offered) / 1_000.0,
                Quantiles.of(statistics.latency),
                Quantiles.of(statistics.service));
    }

    private static Point point(double at, RunStatistics.IntervalStatistics statistics) {
        Quantiles quantiles = Quantiles.of(statistics.latency);
        return new Point(
                at,
                statistics.offered,
                statistics.withinObjective,
                statistics.late,
                statistics.rejected,
                statistics.failed,
                quantiles.p50(),
                quantiles.p90(),
                quantiles.p99(),
                quantiles.max());
    }
}
