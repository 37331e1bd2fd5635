package rillyard.testserver;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import rillyard.scheduling.Scheduler;

/**
 * The cores of a host and the queue before them: first come, first served. Does no I/O; runs on
 * whatever clock it is given, on one thread.
 */
final class HostQueue {
    /** A piece of work. */
    abstract static class Job {
        final double work;
        private long startedAt;
        private double left;
        private long resumedAt;
        private double rate;
        private Scheduler.ScheduledTask timer;
        private boolean queued;
        private boolean running;

        /** {@code work} is core time of a warm core of speed 1, in ns. */
        Job(double work) {
            this.work = work;
        }

        /** Its turn has come; false if it is not to run after all. */
        abstract boolean starts();

        /** It has run. */
        abstract void finished();

        /** Whether it holds a core. */
        boolean running() {
            return running;
        }

        /** When it began to run, on the clock of the host; 0 if it has not. */
        long startedAt() {
            return startedAt;
        }
    }

    private final HostSpec spec;
    private final Scheduler timers;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final Set<Job> running = new LinkedHashSet<>();
    private double slow = 1;
    private long warmFrom;
    private boolean cold;
    private boolean paused;
    private double busyNanos;
    private long countedAt;
    private long usedFrom;

    HostQueue(HostSpec spec, Scheduler timers) {
        this.spec = spec;
        this.timers = timers;
        this.countedAt = timers.now();
        this.usedFrom = countedAt;
    }

    /** The host starts now; a cold one gets warm evenly over its time. */
    void started(boolean asCold) {
        cold = asCold;
        warmFrom = timers.now();
    }

    /** The share of its full speed that the host has by now. */
    double warmth() {
        if (!cold || spec.warmUpMs() <= 0) {
            return 1;
        }
        double share = (timers.now() - warmFrom) / (spec.warmUpMs() * 1e6);
        return Math.min(1, spec.initialCapacityShare() + (1 - spec.initialCapacityShare()) * share);
    }

    /** Takes a job; false if the queue is full. */
    boolean enqueue(Job job) {
        if (!paused && running.size() < spec.cores()) {
            begin(job);
            return true;
        }
        if (queue.size() >= spec.queue()) {
            return false;
        }
        put(job);
        return true;
    }

    /** Takes a job whether or not there is room. */
    void force(Job job) {
        if (!paused && running.size() < spec.cores()) {
            begin(job);
        } else {
            put(job);
        }
    }

    private void put(Job job) {
        job.queued = true;
        queue.addLast(job);
    }

    /** Takes a job that waits out of the queue; false if it doesn't wait. */
    boolean withdraw(Job job) {
        if (!job.queued) {
            return false;
        }
        job.queued = false;
        return queue.remove(job);
    }

    private void begin(Job job) {
        job.queued = false;
        if (!job.starts()) {
            return;
        }
        count();
        job.running = true;
        job.startedAt = timers.now();
        job.left = job.work;
        running.add(job);
        run(job);
    }

    private void run(Job job) {
        job.resumedAt = timers.now();
        job.rate = spec.speed() * warmth() / slow;
        job.timer = timers.scheduleAt(job.resumedAt + (long) (job.left / job.rate), () -> finish(job));
    }

    private void finish(Job job) {
        count();
        running.remove(job);
        job.running = false;
        job.finished();
        fill();
    }

    private void fill() {
        while (!paused && running.size() < spec.cores() && !queue.isEmpty()) {
            begin(queue.pollFirst());
        }
    }

    /** All stands still. */
    void pause() {
        if (paused) {
            return;
        }
        count();
        paused = true;
        for (Job job : running) {
            job.timer.cancel();
            job.left = Math.max(0, job.left - (timers.now() - job.resumedAt) * job.rate);
        }
    }

    /** All goes on from where it stood. */
    void resume() {
        if (!paused) {
            return;
        }
        count();
        paused = false;
        for (Job job : new ArrayList<>(running)) {
            run(job);
        }
        fill();
    }

    /** From now on what starts takes so many times as long. */
    void slow(double factor) {
        slow = factor;
    }

    /** All work is lost: nothing of it finishes. */
    void kill() {
        count();
        for (Job job : running) {
            job.timer.cancel();
            job.running = false;
        }
        running.clear();
        queue.clear();
        paused = false;
        slow = 1;
    }

    int running() {
        return running.size();
    }

    int queued() {
        return queue.size();
    }

    /** Mean share of the cores in use since the last call, from 0 to 1. */
    double utilisation() {
        count();
        long now = timers.now();
        double share = now == usedFrom ? 0 : busyNanos / ((double) (now - usedFrom) * spec.cores());
        usedFrom = now;
        busyNanos = 0;
        return Math.min(1, share);
    }

    private void count() {
        long now = timers.now();
        busyNanos += paused ? 0 : (double) (now - countedAt) * running.size();
        countedAt = now;
    }
}
