package rillyard.loadgen;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;

/**
 * Counts the results of a run by class and tenant, and over time. Histograms are in microseconds. Confined to the
 * generator's thread during the run.
 */
final class RunStatistics {
    /** Upper bound of recorded times in microseconds: one hour. */
    static final long MAX_MICROS = 3_600_000_000L;

    /** Upper bound on the number of intervals; longer runs have longer intervals. */
    private static final int MAX_INTERVALS = 300;

    /** Counters of one class and tenant; {@code tenant} is null if the plan has none, and both are null in a total. */
    static final class ClassStatistics {
        final LoadClass requestClass;
        final String tenant;
        final Histogram latency = new Histogram(MAX_MICROS, 3);
        final Histogram service = new Histogram(MAX_MICROS, 3);
        long offered;
        long withinObjective;
        long late;
        long rejected;
        long failed;
        long lost;
        long abandoned;
        long notSent;
        long attempts;

        ClassStatistics(LoadClass requestClass, String tenant) {
            this.requestClass = requestClass;
            this.tenant = tenant;
        }

        /** Adds the counters of another instance to these. */
        void add(ClassStatistics statistics) {
            latency.add(statistics.latency);
            service.add(statistics.service);
            offered += statistics.offered;
            withinObjective += statistics.withinObjective;
            late += statistics.late;
            rejected += statistics.rejected;
            failed += statistics.failed;
            lost += statistics.lost;
            abandoned += statistics.abandoned;
            notSent += statistics.notSent;
            attempts += statistics.attempts;
        }
    }

    /** Counters of one interval, by scheduled send time. */
    static final class IntervalStatistics {
        final Histogram latency = new Histogram(2);
        long offered;
        long withinObjective;
        long late;
        long rejected;
        long failed;
    }

    private final Map<String, ClassStatistics> rows = new TreeMap<>();
    private final List<IntervalStatistics> intervals = new ArrayList<>();
    private final Histogram lateness = new Histogram(MAX_MICROS, 3);
    private final long intervalNanos;
    private long startedAtNanos;
    private long endedAtNanos;
    private long offered;
    private long finished;
    private long unexpectedResponses;

    /**
     * Creates empty statistics.
     *
     * @param seconds planned duration of the run, which determines the length of the intervals
     */
    RunStatistics(double seconds) {
        intervalNanos = 1_000_000_000L * (long) Math.max(1, Math.ceil(seconds / MAX_INTERVALS));
    }

    /** Called when the run starts, with the time on the scheduler's clock. */
    void onStarted(long atNanos) {
        startedAtNanos = atNanos;
    }

    /** Called when the run ends, with the time on the scheduler's clock. */
    void onEnded(long atNanos) {
        endedAtNanos = atNanos;
    }

    /** Called when a request is due; {@code nowNanos} is the actual time in nanoseconds of the scheduler's clock. */
    void onScheduled(LogicalRequest request, long nowNanos) {
        offered++;
        lateness.recordValue(Math.max(0, Math.min(MAX_MICROS, (nowNanos - request.scheduledAtNanos) / 1_000)));
        row(request).offered++;
        intervalOf(request).offered++;
    }

    /** Called when an attempt has ended. */
    void onAttempt(ClientAttempt attempt) {
        rows.get(name(attempt.requestClass(), attempt.tenant())).attempts++;
    }

    /** Called when data arrived that no request was waiting for. */
    void onUnexpectedResponse() {
        unexpectedResponses++;
    }

    /** Called when a request has ended; {@code atNanos} is on the scheduler's clock. */
    void onFinished(LogicalRequest request, ClientOutcome outcome, long atNanos) {
        finished++;
        ClassStatistics statistics = row(request);
        IntervalStatistics intervalStatistics = intervalOf(request);
        switch (outcome) {
            case SERVED -> {
                long micros = Math.min(MAX_MICROS, Math.max(0, (atNanos - request.scheduledAtNanos) / 1_000));
                statistics.latency.recordValue(micros);
                statistics.service.recordValue(
                        Math.min(MAX_MICROS, Math.max(0, (atNanos - request.firstSentAtNanos()) / 1_000)));
                intervalStatistics.latency.recordValue(micros);
                if (micros <= 1_000 * request.scheduled.requestClass().latencyObjectiveMillis()) {
                    statistics.withinObjective++;
                    intervalStatistics.withinObjective++;
                } else {
                    statistics.late++;
                    intervalStatistics.late++;
                }
            }
            case REFUSED -> {
                statistics.rejected++;
                intervalStatistics.rejected++;
            }
            default -> {
                intervalStatistics.failed++;
                if (outcome == ClientOutcome.NOT_SENT) {
                    statistics.notSent++;
                } else if (outcome == ClientOutcome.ABANDONED) {
                    statistics.abandoned++;
                } else if (outcome.isLost()) {
                    statistics.lost++;
                } else {
                    statistics.failed++;
                }
            }
        }
    }

    private ClassStatistics row(LogicalRequest request) {
        return rows.computeIfAbsent(
                name(request.scheduled.requestClass().name(), request.scheduled.tenant()),
                key -> new ClassStatistics(request.scheduled.requestClass(), request.scheduled.tenant()));
    }

    private static String name(String className, String tenant) {
        return tenant == null ? className : className + " " + tenant;
    }

    private IntervalStatistics intervalOf(LogicalRequest request) {
        int index = (int) Math.max(0, (request.scheduledAtNanos - startedAtNanos) / intervalNanos);
        while (intervals.size() <= index) {
            intervals.add(new IntervalStatistics());
        }
        return intervals.get(index);
    }

    /** Returns the statistics by class and tenant, sorted by class and tenant name. */
    List<ClassStatistics> rows() {
        return List.copyOf(rows.values());
    }

    /** Returns the sum of all rows. */
    ClassStatistics total() {
        ClassStatistics all = new ClassStatistics(null, null);
        rows.values().forEach(all::add);
        return all;
    }

    /** Returns the statistics over time. */
    List<IntervalStatistics> intervals() {
        return List.copyOf(intervals);
    }

    /** Returns the length of one interval in seconds. */
    double intervalSeconds() {
        return intervalNanos / 1e9;
    }

    /** Returns the lateness of the generator's own sends, in microseconds. */
    Histogram lateness() {
        return lateness;
    }

    /** Returns the duration of the run in seconds. */
    double seconds() {
        return (endedAtNanos - startedAtNanos) / 1e9;
    }

    /** Returns the number of requests that were due. */
    long offered() {
        return offered;
    }

    /** Returns the number of requests that have ended. */
    long finishedCount() {
        return finished;
    }

    /** Returns the number of unexpected responses. */
    long unexpectedResponses() {
        return unexpectedResponses;
    }
}
