package rillyard.testserver;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import rillyard.scheduling.Scheduler;

/**
 * Models the cores of a host and a FIFO queue in front of them. Does no I/O and uses the scheduler's clock, real or
 * virtual. Confined to the scheduler's thread.
 */
final class HostQueue {
    /** A unit of work for one core. */
    abstract static class Job {
        final double workNanos;
        private long startedAtNanos;
        private double remainingNanos;
        private long resumedAtNanos;
        private double rate;
        private Scheduler.ScheduledTask timer;
        private boolean queued;
        private boolean running;

        /**
         * Creates a job.
         *
         * @param workNanos time in nanoseconds that it takes on a core of speed 1 that is warmed up
         */
        Job(double workNanos) {
            this.workNanos = workNanos;
        }

        /** Called when a core is free. Returns false to discard the job, for example if its client disconnected. */
        abstract boolean mayStart();

        /** Called when the job has completed. */
        abstract void onFinished();

        /** Returns whether the job occupies a core. */
        boolean isRunning() {
            return running;
        }

        /** Returns when the job started, in nanoseconds of the scheduler's clock, or 0 if it has not. */
        long startedAtNanos() {
            return startedAtNanos;
        }
    }

    private final HostSpec spec;
    private final Scheduler scheduler;
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final Set<Job> running = new LinkedHashSet<>();
    private double slowdown = 1;
    private long startedAtNanos;
    private boolean warmingUp;
    private boolean paused;
    private double busyNanos;
    private long busyCountedAtNanos;
    private long utilisationSinceNanos;

    HostQueue(HostSpec spec, Scheduler scheduler) {
        this.spec = spec;
        this.scheduler = scheduler;
        this.busyCountedAtNanos = scheduler.now();
        this.utilisationSinceNanos = busyCountedAtNanos;
    }

    /** Records that the host starts now. A host that warms up gains speed linearly over its warm-up time. */
    void onStarted(boolean isWarmingUp) {
        warmingUp = isWarmingUp;
        startedAtNanos = scheduler.now();
    }

    /** Returns the current share of the host's full speed, above 0 and at most 1. */
    double capacityShare() {
        if (!warmingUp || spec.warmUpMillis() <= 0) {
            return 1;
        }
        double share = (scheduler.now() - startedAtNanos) / (spec.warmUpMillis() * 1e6);
        return Math.min(1, spec.initialCapacityShare() + (1 - spec.initialCapacityShare()) * share);
    }

    /** Starts or queues a job. Returns false if the queue is full. */
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

    /** Starts or queues a job regardless of the queue's limit. */
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

    /** Removes a waiting job from the queue. Returns false if it was not waiting. */
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
        job.startedAtNanos = scheduler.now();
        job.remainingNanos = job.workNanos;
        running.add(job);
        run(job);
    }

    private void run(Job job) {
        job.resumedAtNanos = scheduler.now();
        job.rate = spec.speed() * capacityShare() / slowdown;
        job.timer =
                scheduler.scheduleAt(job.resumedAtNanos + (long) (job.remainingNanos / job.rate), () -> finish(job));
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

    /** Stops all progress until {@link #resume}, as a stall of the process would. */
    void pause() {
        if (paused) {
            return;
        }
        countBusyTime();
        paused = true;
        for (Job job : running) {
            job.timer.cancel();
            job.remainingNanos = Math.max(0, job.remainingNanos - (scheduler.now() - job.resumedAtNanos) * job.rate);
        }
    }

    /** Continues after {@link #pause}. Running jobs keep the progress they had. */
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

    /** Sets the factor on the duration of jobs that start from now on; 1 is normal speed. */
    void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** Discards all running and waiting jobs, none of which completes, and ends a pause and a slowdown. */
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

    /** Returns the number of running jobs. */
    int running() {
        return running.size();
    }

    /** Returns the number of waiting jobs. */
    int queued() {
        return queue.size();
    }

    /** Returns the mean share of busy cores since the previous call, 0 to 1. */
    double utilisation() {
        countBusyTime();
        long nowNanos = scheduler.now();
        double share = nowNanos == utilisationSinceNanos
                ? 0
                : busyNanos / ((double) (nowNanos - utilisationSinceNanos) * spec.cores());
        utilisationSinceNanos = nowNanos;
        busyNanos = 0;
        return Math.min(1, share);
    }

    private void countBusyTime() {
        long nowNanos = scheduler.now();
        busyNanos += paused ? 0 : (double) (nowNanos - busyCountedAtNanos) * running.size();
        busyCountedAtNanos = nowNanos;
    }
}
