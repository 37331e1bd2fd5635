package rillyard.scheduling;

/** A monotonic clock with one-shot timers. All tasks run on one thread, and all methods are called on that thread. */
public interface Scheduler {
    /** Returns the current time in nanoseconds from an arbitrary origin. The value never decreases. */
    long now();

    /**
     * Schedules a task for an absolute time.
     *
     * @param atNanos time on the clock of {@link #now()}, in nanoseconds; a task whose time is past runs soon, but
     *     never within this call
     * @param task the task to run
     */
    ScheduledTask scheduleAt(long atNanos, Runnable task);

    /** Schedules a task to run after {@code delayNanos} nanoseconds. */
    default ScheduledTask scheduleAfter(long delayNanos, Runnable task) {
        return scheduleAt(now() + delayNanos, task);
    }

    /** A scheduled task, which may be cancelled. */
    interface ScheduledTask {
        /** Cancels the task. Has no effect once the task has run. */
        void cancel();
    }
}
