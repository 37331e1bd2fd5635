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
    private static final long TURN = 20_000;

    private final LoadPlan plan;
    private final RequestSchedule schedule;
    private final Scheduler timers;
    private final Transport transport;
    private final RequestLogWriter ledger;
    private final RunStatistics tally;
    private final SplittableRandom names;
    private final SplittableRandom random;
    private final Set<LogicalRequest> open = new LinkedHashSet<>();
    private final Runnable whenDone;
    private ScheduledRequest next;
    private long startedAt;
    private long number;
    private boolean stopped;

    /** {@code whenDone} is run once, when the last request is over. */
    LoadGenerator(
            LoadPlan plan,
            Scheduler timers,
            Transport transport,
            RequestLogWriter ledger,
            RunStatistics tally,
            Runnable whenDone) {
        this.plan = plan;
        this.schedule = new RequestSchedule(plan);
        this.timers = timers;
        this.transport = transport;
        this.ledger = ledger;
        this.tally = tally;
        this.whenDone = whenDone;
        SplittableRandom seed = new SplittableRandom(plan.seed() ^ 0x5DEECE66DL);
        this.names = seed.split();
        this.random = seed.split();
    }

    /** Begins now. */
    void start() {
        startedAt = timers.now();
        tally.started(startedAt);
        next = schedule.hasNext() ? schedule.next() : null;
        turn();
    }

    private void turn() {
        long now = timers.now();
        while (!stopped && next != null && startedAt + next.at() <= now + TURN) {
            send(next, now);
            next = schedule.hasNext() ? schedule.next() : null;
            now = timers.now();
        }
        if (!stopped && next != null) {
            timers.scheduleAt(startedAt + next.at(), this::turn);
        } else {
            doneIfEmpty();
        }
    }

    private void send(ScheduledRequest request, long now) {
        LogicalRequest logicalRequest = new LogicalRequest(number++, request, startedAt + request.at(), this);
        tally.arrived(logicalRequest, now);
        if (open.size() >= plan.maxOpen()) {
            logicalRequest.notSent();
            return;
        }
        open.add(logicalRequest);
        logicalRequest.begin();
    }

    /** Sends nothing more, and leaves what is under way. */
    void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        for (LogicalRequest request : new ArrayList<>(open)) {
            request.leave();
        }
        doneIfEmpty();
    }

    private boolean done;

    private void doneIfEmpty() {
        if (!done && open.isEmpty() && (stopped || next == null)) {
            done = true;
            tally.ended(timers.now());
            whenDone.run();
        }
    }

    /** Requests that are under way. */
    int open() {
        return open.size();
    }

    // --- what calls need

    @Override
    public Scheduler timers() {
        return timers;
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
    public String name(int digits) {
        StringBuilder out = new StringBuilder(digits);
        while (out.length() < digits) {
            String hex = Long.toHexString(names.nextLong());
            out.append("0".repeat(16 - hex.length())).append(hex);
        }
        out.setLength(digits);
        return out.toString();
    }

    @Override
    public void tried(LogicalRequest call, ClientAttempt line) {
        ledger.append(line);
        tally.tried(line);
    }

    @Override
    public void over(LogicalRequest call, ClientOutcome outcome, long endedAt) {
        tally.over(call, outcome, endedAt);
        if (open.remove(call)) {
            doneIfEmpty();
        }
    }
}
