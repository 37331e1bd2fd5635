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
        final double workNanos;
        private long startedAt;
        private double remainingNanos;
        private long resumedAt;
        private double rate;
        private Scheduler.ScheduledTask timer;
        private boolean queued;
        private boolean running;

        /** {@code work} is core time of a warm core of speed 1, in ns. */
        Job(double workNanos) {
            this.workNanos = workNanos;
        }

        /** Its turn has come; false if it is not to run after all. */
        abstract boolean mayStart();

        /** It has run. */
        abstract void onFinished();

        /** Whether it holds a core. */
        boolean isRunning() {
            return running;
        }

        /** When it began to run, on the clock of the host; 0 if it has not. */
        long startedAt() {
            return startedAt;
        }
    }

    private final HostSpec spec;
    private final Scheduler scheduler;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final Set<Job> running = new LinkedHashSet<>();
    private double slowdown = 1;
    private long startedAt;
    private boolean warmingUp;
    private boolean paused;
    private double busyNanos;
    private long busyCountedAt;
    private long utilisationSince;

    HostQueue(HostSpec spec, Scheduler scheduler) {
        this.spec = spec;
        this.scheduler = scheduler;
        this.busyCountedAt = scheduler.now();
        this.utilisationSince = busyCountedAt;
    }

    /** The host starts now; a cold one gets warm evenly over its time. */
    void onStarted(boolean isWarmingUp) {
        warmingUp = isWarmingUp;
        startedAt = scheduler.now();
    }

    /** The share of its full speed that the host has by now. */
    double capacityShare() {
        if (!warmingUp || spec.warmUpMillis() <= 0) {
            return 1;
        }
        double share = (scheduler.now() - startedAt) / (spec.warmUpMillis() * 1e6);
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
        addToQueue(job);
        return true;
    }

    /** Takes a job whether or not there is room. */
    void enqueueUnbounded(Job job) {
        if (!paused && running.size() < spec.cores()) {
            begin(job);
        } else {
            addToQueue(job);
        }
    }

    private void addToQueue(Job job) {
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
        if (!job.mayStart()) {
            return;
        }
        countBusyTime();
        job.running = true;
        job.startedAt = scheduler.now();
        job.remainingNanos = job.workNanos;
        running.add(job);
        run(job);
    }

    private void run(Job job) {
        job.resumedAt = scheduler.now();
        job.rate = spec.speed() * capacityShare() / slowdown;
        job.timer = scheduler.scheduleAt(job.resumedAt + (long) (job.remainingNanos / job.rate), () -> finish(job));
    }

    private void finish(Job job) {
        countBusyTime();
        running.remove(job);
        job.running = false;
        job.onFinished();
        startQueued();
    }

    private void startQueued() {
        while (!paused && running.size() < spec.cores() && !queue.isEmpty()) {
            begin(queue.pollFirst());
        }
    }

    /** All stands still. */
    void pause() {
        if (paused) {
            return;
        }
        countBusyTime();
        paused = true;
        for (Job job : running) {
            job.timer.cancel();
            job.remainingNanos = Math.max(0, job.remainingNanos - (scheduler.now() - job.resumedAt) * job.rate);
        }
    }

    /** All goes on from where it stood. */
    void resume() {
        if (!paused) {
            return;
        }
        countBusyTime();
        paused = false;
        for (Job job : new ArrayList<>(running)) {
            run(job);
        }
        startQueued();
    }

    /** From now on what starts takes so many times as long. */
    void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** All work is lost: nothing of it finishes. */
    void kill() {
        countBusyTime();
        for (Job job : running) {
            job.timer.cancel();
            job.running = false;
        }
        running.clear();
        queue.clear();
        paused = false;
        slowdown = 1;
    }

    int running() {
        return running.size();
    }

    int queued() {
        return queue.size();
    }

    /** Mean share of the cores in use since the last call, from 0 to 1. */
    double utilisation() {
        countBusyTime();
        long now = scheduler.now();
        double share = now == utilisationSince ? 0 : busyNanos / ((double) (now - utilisationSince) * spec.cores());
        utilisationSince = now;
        busyNanos = 0;
        return Math.min(1, share);
    }

    private void countBusyTime() {
        long now = scheduler.now();
        busyNanos += paused ? 0 : (double) (now - busyCountedAt) * running.size();
        busyCountedAt = now;
    }
}
