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
    static final long MOST_MICROS = 3_600_000_000L;

    /** Stretches of time that are kept apart at most; a long run has longer ones. */
    private static final int STRETCHES = 300;

    /** Figures of one class and tenant; {@code tenant} is null where there are none. */
    static final class ClassStatistics {
        final LoadClass type;
        final String tenant;
        final Histogram latency = new Histogram(MOST_MICROS, 3);
        final Histogram service = new Histogram(MOST_MICROS, 3);
        long offered;
        long inAim;
        long late;
        long refused;
        long failed;
        long lost;
        long abandoned;
        long notSent;
        long tries;

        ClassStatistics(LoadClass type, String tenant) {
            this.type = type;
            this.tenant = tenant;
        }

        void add(ClassStatistics statistics) {
            latency.add(statistics.latency);
            service.add(statistics.service);
            offered += statistics.offered;
            inAim += statistics.inAim;
            late += statistics.late;
            refused += statistics.refused;
            failed += statistics.failed;
            lost += statistics.lost;
            abandoned += statistics.abandoned;
            notSent += statistics.notSent;
            tries += statistics.tries;
        }
    }

    /** Figures of one stretch of time, by when requests were to be sent. */
    static final class IntervalStatistics {
        final Histogram latency = new Histogram(2);
        long offered;
        long inAim;
        long late;
        long refused;
        long failed;
    }

    private final Map<String, ClassStatistics> rows = new TreeMap<>();
    private final List<IntervalStatistics> stretches = new ArrayList<>();
    private final Histogram lateness = new Histogram(MOST_MICROS, 3);
    private final long width;
    private long startedAt;
    private long endedAt;
    private long offered;
    private long over;
    private long surplus;

    RunStatistics(double seconds) {
        width = 1_000_000_000L * (long) Math.max(1, Math.ceil(seconds / STRETCHES));
    }

    void started(long at) {
        startedAt = at;
    }

    void ended(long at) {
        endedAt = at;
    }

    void arrived(LogicalRequest request, long now) {
        offered++;
        lateness.recordValue(Math.max(0, Math.min(MOST_MICROS, (now - request.intended) / 1_000)));
        row(request).offered++;
        stretch(request).offered++;
    }

    void tried(ClientAttempt line) {
        rows.get(name(line.requestClass(), line.tenant())).tries++;
    }

    /** More came on a connection than the one answer. */
    void surplus() {
        surplus++;
    }

    void over(LogicalRequest request, ClientOutcome outcome, long at) {
        over++;
        ClassStatistics statistics = row(request);
        IntervalStatistics intervalStatistics = stretch(request);
        switch (outcome) {
            case SERVED -> {
                long micros = Math.min(MOST_MICROS, Math.max(0, (at - request.intended) / 1_000));
                statistics.latency.recordValue(micros);
                statistics.service.recordValue(Math.min(MOST_MICROS, Math.max(0, (at - request.firstSent()) / 1_000)));
                intervalStatistics.latency.recordValue(micros);
                if (micros <= 1_000 * request.arrival.type().aimMs()) {
                    statistics.inAim++;
                    intervalStatistics.inAim++;
                } else {
                    statistics.late++;
                    intervalStatistics.late++;
                }
            }
            case REFUSED -> {
                statistics.refused++;
                intervalStatistics.refused++;
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
                name(request.arrival.type().name(), request.arrival.tenant()),
                n -> new ClassStatistics(request.arrival.type(), request.arrival.tenant()));
    }

    private static String name(String type, String tenant) {
        return tenant == null ? type : type + " " + tenant;
    }

    private IntervalStatistics stretch(LogicalRequest request) {
        int i = (int) Math.max(0, (request.intended - startedAt) / width);
        while (stretches.size() <= i) {
            stretches.add(new IntervalStatistics());
        }
        return stretches.get(i);
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

    List<IntervalStatistics> stretches() {
        return List.copyOf(stretches);
    }

    double stretchSeconds() {
        return width / 1e9;
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

    long over() {
        return over;
    }

    long surplusAnswers() {
        return surplus;
    }
}
