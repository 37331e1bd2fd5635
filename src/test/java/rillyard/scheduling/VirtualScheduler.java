package rillyard.scheduling;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A {@link Scheduler} whose clock moves only when a test advances it. */
public final class VirtualScheduler implements Scheduler {
    private static final class VirtualTask implements ScheduledTask {
        final long at;
        final long order;
        final Runnable action;
        boolean cancelled;

        VirtualTask(long at, long order, Runnable action) {
            this.at = at;
            this.order = order;
            this.action = action;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }
    }

    private final PriorityQueue<VirtualTask> due = new PriorityQueue<>(
            Comparator.<VirtualTask>comparingLong(task -> task.at).thenComparingLong(task -> task.order));
    private long now = 1_000_000_000L;
    private long order;

    @Override
    public long now() {
        return now;
    }

    @Override
    public ScheduledTask scheduleAt(long at, Runnable action) {
        VirtualTask task = new VirtualTask(Math.max(now, at), order++, action);
        due.add(task);
        return task;
    }

    /**
     * Advances the clock by {@code nanos} nanoseconds and runs the tasks that become due, in the order of their
     * times.
     */
    public void advance(long nanos) {
        long until = now + nanos;
        while (!due.isEmpty() && due.peek().at <= until) {
            VirtualTask task = due.poll();
            if (!task.cancelled) {
                now = Math.max(now, task.at);
                task.action.run();
            }
        }
        now = Math.max(now, until);
    }

    /**
     * Advances the clock by {@code nanos} nanoseconds without running tasks, as when the scheduler's thread is
     * blocked.
     */
    public void skip(long nanos) {
        now += nanos;
    }

    /** Advances the clock by {@code ms} milliseconds and runs the tasks that become due. */
    public void advanceMillis(double ms) {
        advance((long) (ms * 1e6));
    }

    /** Advances the clock until no task is left. */
    public void drain() {
        while (due.removeIf(task -> task.cancelled) || !due.isEmpty()) {
            if (due.isEmpty()) {
                return;
            }
            advance(Math.max(0, due.peek().at - now));
        }
    }
}
