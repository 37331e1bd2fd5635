package rillyard.scheduling;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock that a test moves. */
public final class VirtualScheduler implements Scheduler {
    private static final class Due implements ScheduledTask {
        final long at;
        final long order;
        final Runnable what;
        boolean cancelled;

        Due(long at, long order, Runnable what) {
            this.at = at;
            this.order = order;
            this.what = what;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }
    }

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.<Due>comparingLong(d -> d.at).thenComparingLong(d -> d.order));
    private long now = 1_000_000_000L;
    private long order;

    @Override
    public long now() {
        return now;
    }

    @Override
    public ScheduledTask scheduleAt(long at, Runnable what) {
        Due d = new Due(Math.max(now, at), order++, what);
        due.add(d);
        return d;
    }

    /** Lets so much time (ns) pass. */
    public void pass(long nanos) {
        long until = now + nanos;
        while (!due.isEmpty() && due.peek().at <= until) {
            Due d = due.poll();
            if (!d.cancelled) {
                now = Math.max(now, d.at);
                d.what.run();
            }
        }
        now = Math.max(now, until);
    }

    /** The clock goes on by so much (ns) with nothing run, as when the one thread is held up. */
    public void skip(long nanos) {
        now += nanos;
    }

    /** Lets so many milliseconds pass. */
    public void passMs(double ms) {
        pass((long) (ms * 1e6));
    }

    /** Runs all that is to happen, however late. */
    public void drain() {
        while (due.removeIf(d -> d.cancelled) || !due.isEmpty()) {
            if (due.isEmpty()) {
                return;
            }
            pass(Math.max(0, due.peek().at - now));
        }
    }
}
