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

        void add(ClassStatistics o) {
            latency.add(o.latency);
            service.add(o.service);
            offered += o.offered;
            inAim += o.inAim;
            late += o.late;
            refused += o.refused;
            failed += o.failed;
            lost += o.lost;
            abandoned += o.abandoned;
            notSent += o.notSent;
            tries += o.tries;
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

    void arrived(LogicalRequest c, long now) {
        offered++;
        lateness.recordValue(Math.max(0, Math.min(MOST_MICROS, (now - c.intended) / 1_000)));
        row(c).offered++;
        stretch(c).offered++;
    }

    void tried(ClientAttempt line) {
        rows.get(name(line.type(), line.tenant())).tries++;
    }

    /** More came on a connection than the one answer. */
    void surplus() {
        surplus++;
    }

    void over(LogicalRequest c, ClientOutcome outcome, long at) {
        over++;
        ClassStatistics r = row(c);
        IntervalStatistics s = stretch(c);
        switch (outcome) {
            case SERVED -> {
                long micros = Math.min(MOST_MICROS, Math.max(0, (at - c.intended) / 1_000));
                r.latency.recordValue(micros);
                r.service.recordValue(Math.min(MOST_MICROS, Math.max(0, (at - c.firstSent()) / 1_000)));
                s.latency.recordValue(micros);
                if (micros <= 1_000 * c.arrival.type().aimMs()) {
                    r.inAim++;
                    s.inAim++;
                } else {
                    r.late++;
                    s.late++;
                }
            }
            case REFUSED -> {
                r.refused++;
                s.refused++;
            }
            default -> {
                s.failed++;
                if (outcome == ClientOutcome.NOT_SENT) {
                    r.notSent++;
                } else if (outcome == ClientOutcome.ABANDONED) {
                    r.abandoned++;
                } else if (outcome.lost()) {
                    r.lost++;
                } else {
                    r.failed++;
                }
            }
        }
    }

    private ClassStatistics row(LogicalRequest c) {
        return rows.computeIfAbsent(
                name(c.arrival.type().name(), c.arrival.tenant()),
                n -> new ClassStatistics(c.arrival.type(), c.arrival.tenant()));
    }

    private static String name(String type, String tenant) {
        return tenant == null ? type : type + " " + tenant;
    }

    private IntervalStatistics stretch(LogicalRequest c) {
        int i = (int) Math.max(0, (c.intended - startedAt) / width);
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
