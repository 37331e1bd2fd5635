package rillyard.loadgen;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;

/** Counts what came of a run: by class and tenant, and over time. Used on one thread. */
final class RunStatistics {
    /** Times are recorded in microseconds, to three digits, up to an hour. */
    static final long MAX_MICROS = 3_600_000_000L;

    /** Stretches of time that are kept apart at most; a long run has longer ones. */
    private static final int MAX_INTERVALS = 300;

    /** Figures of one class and tenant; {@code tenant} is null where there are none. */
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

    /** Figures of one stretch of time, by when requests were to be sent. */
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
    private long startedAt;
    private long endedAt;
    private long offered;
    private long finished;
    private long unexpectedResponses;

    RunStatistics(double seconds) {
        intervalNanos = 1_000_000_000L * (long) Math.max(1, Math.ceil(seconds / MAX_INTERVALS));
    }

    void onStarted(long at) {
        startedAt = at;
    }

    void onEnded(long at) {
        endedAt = at;
    }

    void onScheduled(LogicalRequest request, long now) {
        offered++;
        lateness.recordValue(Math.max(0, Math.min(MAX_MICROS, (now - request.scheduledAt) / 1_000)));
        row(request).offered++;
        intervalOf(request).offered++;
    }

    void onAttempt(ClientAttempt attempt) {
        rows.get(name(attempt.requestClass(), attempt.tenant())).attempts++;
    }

    /** More came on a connection than the one answer. */
    void onUnexpectedResponse() {
        unexpectedResponses++;
    }

    void onFinished(LogicalRequest request, ClientOutcome outcome, long at) {
        finished++;
        ClassStatistics statistics = row(request);
        IntervalStatistics intervalStatistics = intervalOf(request);
        switch (outcome) {
            case SERVED -> {
                long micros = Math.min(MAX_MICROS, Math.max(0, (at - request.scheduledAt) / 1_000));
                statistics.latency.recordValue(micros);
                statistics.service.recordValue(Math.min(MAX_MICROS, Math.max(0, (at - request.firstSent()) / 1_000)));
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

    private static String name(String type, String tenant) {
        return tenant == null ? type : type + " " + tenant;
    }

    private IntervalStatistics intervalOf(LogicalRequest request) {
        int index = (int) Math.max(0, (request.scheduledAt - startedAt) / intervalNanos);
        while (intervals.size() <= index) {
            intervals.add(new IntervalStatistics());
        }
        return intervals.get(index);
    }

    List<ClassStatistics> rows() {
        return List.copyOf(rows.values());
    }

    /** All rows in one. */
    ClassStatistics total() {
        ClassStatistics all = new ClassStatistics(null, null);
        rows.values().forEach(all::add);
        return all;
    }

    List<IntervalStatistics> intervals() {
        return List.copyOf(intervals);
    }

    double intervalSeconds() {
        return intervalNanos / 1e9;
    }

    /** How late the generator's own sends were (microseconds). */
    Histogram lateness() {
        return lateness;
    }

    double seconds() {
        return (endedAt - startedAt) / 1e9;
    }

    long offered() {
        return offered;
    }

    long finishedCount() {
        return finished;
    }

    long unexpectedResponses() {
        return unexpectedResponses;
    }
}
