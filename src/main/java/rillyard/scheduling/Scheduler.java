package rillyard.scheduling;

/** A clock, and things that happen when it reads so much; all on one thread. */
public interface Scheduler {
    /** Nanoseconds from a point of no meaning; never goes back. */
    long now();

    /** Runs something when the clock reads {@code at} (ns), in the next turn if that is past. */
    ScheduledTask scheduleAt(long atNanos, Runnable task);

    /** Runs something after {@code delay} ns. */
    default ScheduledTask scheduleAfter(long delayNanos, Runnable task) {
        return scheduleAt(now() + delayNanos, task);
    }

    /** Something that is to happen. */
    interface ScheduledTask {
        /** Has it not happen; without effect once it has. */
        void cancel();
    }
}
