package rillyard.loadgen;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import rillyard.requestlog.ClientAttempt;
import rillyard.requestlog.ClientOutcome;
import rillyard.requestlog.RequestLogWriter;
import rillyard.scheduling.Scheduler;

/**
 * Sends what the schedule says when it says so, whatever becomes of what was sent before. Knows no
 * sockets; all on one thread, on whatever clock it is given.
 */
final class LoadGenerator implements LogicalRequest.Context {
    /** What is due within this time (ns) is sent in the same turn: a timer is no finer. */
    private static final long TICK_NANOS = 20_000;

    private final LoadPlan plan;
    private final RequestSchedule schedule;
    private final Scheduler scheduler;
    private final Transport transport;
    private final RequestLogWriter requestLog;
    private final RunStatistics statistics;
    private final SplittableRandom idRandom;
    private final SplittableRandom random;
    private final Set<LogicalRequest> openRequests = new LinkedHashSet<>();
    private final Runnable onDone;
    private ScheduledRequest next;
    private long startedAt;
    private long nextRequestNumber;
    private boolean stopped;

    /** {@code whenDone} is run once, when the last request is over. */
    LoadGenerator(
            LoadPlan plan,
            Scheduler scheduler,
            Transport transport,
            RequestLogWriter requestLog,
            RunStatistics statistics,
            Runnable onDone) {
        this.plan = plan;
        this.schedule = new RequestSchedule(plan);
        this.scheduler = scheduler;
        this.transport = transport;
        this.requestLog = requestLog;
        this.statistics = statistics;
        this.onDone = onDone;
        SplittableRandom seed = new SplittableRandom(plan.seed() ^ 0x5DEECE66DL);
        this.idRandom = seed.split();
        this.random = seed.split();
    }

    /** Begins now. */
    void start() {
        startedAt = scheduler.now();
        statistics.onStarted(startedAt);
        next = schedule.hasNext() ? schedule.next() : null;
        sendDue();
    }

    private void sendDue() {
        long now = scheduler.now();
        while (!stopped && next != null && startedAt + next.atNanos() <= now + TICK_NANOS) {
            send(next, now);
            next = schedule.hasNext() ? schedule.next() : null;
            now = scheduler.now();
        }
        if (!stopped && next != null) {
            scheduler.scheduleAt(startedAt + next.atNanos(), this::sendDue);
        } else {
            finishIfIdle();
        }
    }

    private void send(ScheduledRequest request, long now) {
        LogicalRequest logicalRequest =
                new LogicalRequest(nextRequestNumber++, request, startedAt + request.atNanos(), this);
        statistics.onScheduled(logicalRequest, now);
        if (openRequests.size() >= plan.maxOpen()) {
            logicalRequest.markNotSent();
            return;
        }
        openRequests.add(logicalRequest);
        logicalRequest.start();
    }

    /** Sends nothing more, and leaves what is under way. */
    void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        for (LogicalRequest request : new ArrayList<>(openRequests)) {
            request.abandon();
        }
        finishIfIdle();
    }

    private boolean done;

    private void finishIfIdle() {
        if (!done && openRequests.isEmpty() && (stopped || next == null)) {
            done = true;
            statistics.onEnded(scheduler.now());
            onDone.run();
        }
    }

    /** Requests that are under way. */
    int openRequests() {
        return openRequests.size();
    }

    // --- what calls need

    @Override
    public Scheduler scheduler() {
        return scheduler;
    }

    @Override
    public Transport transport() {
        return transport;
    }

    @Override
    public ClientSpec clients() {
        return plan.clients();
    }

    @Override
    public RandomGenerator random() {
        return random;
    }

    @Override
    public String randomId(int digits) {
        StringBuilder out = new StringBuilder(digits);
        while (out.length() < digits) {
            String hex = Long.toHexString(idRandom.nextLong());
            out.append("0".repeat(16 - hex.length())).append(hex);
        }
        out.setLength(digits);
        return out.toString();
    }

    @Override
    public void onAttemptEnded(LogicalRequest request, ClientAttempt attempt) {
        requestLog.append(attempt);
        statistics.onAttempt(attempt);
    }

    @Override
    public void onFinished(LogicalRequest request, ClientOutcome outcome, long endedAt) {
        statistics.onFinished(request, outcome, endedAt);
        if (openRequests.remove(request)) {
            finishIfIdle();
        }
    }
}
