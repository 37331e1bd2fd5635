package rillyard.scheduling;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A {@link Scheduler} with a virtual clock that moves only when a test advances it. */
public final class VirtualScheduler implements Scheduler {
    private static final class VirtualTask implements ScheduledTask {
        final long atNanos;
        final long order;
        final Runnable action;
        boolean cancelled;

        VirtualTask(long atNanos, long order, Runnable action) {
            this.atNanos = atNanos;
            this.order = order;
            this.action = action;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }
    }

    private final PriorityQueue<VirtualTask> due = new PriorityQueue<>(
            Comparator.<VirtualTask>comparingLong(task -> task.atNanos).thenComparingLong(task -> task.order));
    private long nowNanos = 1_000_000_000L;
    private long order;

    @Override
    public long now() {
        return nowNanos;
    }

    @Override
    public ScheduledTask scheduleAt(long atNanos, Runnable action) {
        VirtualTask task = new VirtualTask(Math.max(nowNanos, atNanos), order++, action);
        due.add(task);
        return task;
    }

    /**
     * Advances the clock by {@code nanos} nanoseconds and runs the tasks that become due, in the order of their
     * times.
     */
    public void advance(long nanos) {
        long untilNanos = nowNanos + nanos;
        while (!due.isEmpty() && due.peek().atNanos <= untilNanos) {
            VirtualTask task = due.poll();
            if (!task.cancelled) {
                nowNanos = Math.max(nowNanos, task.atNanos);
                task.action.run();
            }
        }
        nowNanos = Math.max(nowNanos, untilNanos);
    }

    /**
     * Advances the clock by {@code nanos} nanoseconds without running tasks, as when the scheduler's thread is
     * blocked.
     */
    public void skip(long nanos) {
        nowNanos += nanos;
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
            advance(Math.max(0, due.peek().atNanos - nowNanos));
        }
    }
}
