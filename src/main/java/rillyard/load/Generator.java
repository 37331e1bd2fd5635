package rillyard.load;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import rillyard.ledger.ClientTry;
import rillyard.ledger.Ledger;
import rillyard.ledger.Outcome;
import rillyard.timing.Timers;

/**
 * Sends what the schedule says when it says so, whatever becomes of what was sent before. Knows no
 * sockets; all on one thread, on whatever clock it is given.
 */
final class Generator implements Call.Host {
    /** What is due within this time (ns) is sent in the same turn: a timer is no finer. */
    private static final long TURN = 20_000;

    private final LoadPlan plan;
    private final Schedule schedule;
    private final Timers timers;
    private final Transport transport;
    private final Ledger ledger;
    private final Tally tally;
    private final SplittableRandom names;
    private final SplittableRandom random;
    private final Set<Call> open = new LinkedHashSet<>();
    private final Runnable whenDone;
    private Arrival next;
    private long startedAt;
    private long number;
    private boolean stopped;

    /** {@code whenDone} is run once, when the last request is over. */
    Generator(LoadPlan plan, Timers timers, Transport transport, Ledger ledger, Tally tally, Runnable whenDone) {
        this.plan = plan;
        this.schedule = new Schedule(plan);
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
            timers.at(startedAt + next.at(), this::turn);
        } else {
            doneIfEmpty();
        }
    }

    private void send(Arrival a, long now) {
        Call c = new Call(number++, a, startedAt + a.at(), this);
        tally.arrived(c, now);
        if (open.size() >= plan.maxOpen()) {
            c.notSent();
            return;
        }
        open.add(c);
        c.begin();
    }

    /** Sends nothing more, and leaves what is under way. */
    void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        for (Call c : new ArrayList<>(open)) {
            c.leave();
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
    public Timers timers() {
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
        StringBuilder s = new StringBuilder(digits);
        while (s.length() < digits) {
            String hex = Long.toHexString(names.nextLong());
            s.append("0".repeat(16 - hex.length())).append(hex);
        }
        s.setLength(digits);
        return s.toString();
    }

    @Override
    public void tried(Call call, ClientTry line) {
        ledger.append(line);
        tally.tried(line);
    }

    @Override
    public void over(Call call, Outcome outcome, long endedAt) {
        tally.over(call, outcome, endedAt);
        if (open.remove(call)) {
            doneIfEmpty();
        }
    }
}
