package rillyard.scheduling;

/** A clock, and things that happen when it reads so much; all on one thread. */
public interface Scheduler {
    /** Nanoseconds from a point of no meaning; never goes back. */
    long now();

    /** Runs something when the clock reads {@code at} (ns), in the next turn if that is past. */
    ScheduledTask scheduleAt(long at, Runnable what);

    /** Runs something after {@code delay} ns. */
    default ScheduledTask scheduleAfter(long delay, Runnable what) {
        return scheduleAt(now() + delay, what);
    }

    /** Something that is to happen. */
    interface ScheduledTask {
        /** Has it not happen; without effect once it has. */
        void cancel();
    }
}
