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
 * Sends requests at their scheduled times, regardless of the progress of earlier ones (open loop). Does no I/O of its
 * own and uses the scheduler's clock, real or virtual. Confined to the scheduler's thread.
 */
final class LoadGenerator implements LogicalRequest.Context {
    /** Requests due within this time are sent in the same turn, as timers are no more precise. */
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
    private long startedAtNanos;
    private long nextRequestNumber;
    private boolean stopped;

    /**
     * Creates a generator.
     *
     * @param onDone run once, when the last request has ended
     */
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

    /** Starts the schedule now. */
    void start() {
        startedAtNanos = scheduler.now();
        statistics.onStarted(startedAtNanos);
        next = schedule.hasNext() ? schedule.next() : null;
        sendDue();
    }

    private void sendDue() {
        long nowNanos = scheduler.now();
        while (!stopped && next != null && startedAtNanos + next.atNanos() <= nowNanos + TICK_NANOS) {
            send(next, nowNanos);
            next = schedule.hasNext() ? schedule.next() : null;
            nowNanos = scheduler.now();
        }
        if (!stopped && next != null) {
            scheduler.scheduleAt(startedAtNanos + next.atNanos(), this::sendDue);
        } else {
            finishIfIdle();
        }
    }

    private void send(ScheduledRequest request, long nowNanos) {
        LogicalRequest logicalRequest =
                new LogicalRequest(nextRequestNumber++, request, startedAtNanos + request.atNanos(), this);
        statistics.onScheduled(logicalRequest, nowNanos);
        if (openRequests.size() >= plan.maxOpen()) {
            logicalRequest.markNotSent();
            return;
        }
        openRequests.add(logicalRequest);
        logicalRequest.start();
    }

    /** Sends nothing more and abandons the open requests. */
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

    /** Returns the number of requests in flight or waiting for a retry. */
    int openRequests() {
        return openRequests.size();
    }

    // --- LogicalRequest.Context

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
    public void onFinished(LogicalRequest request, ClientOutcome outcome, long endedAtNanos) {
        statistics.onFinished(request, outcome, endedAtNanos);
        if (openRequests.remove(request)) {
            finishIfIdle();
        }
    }
}
