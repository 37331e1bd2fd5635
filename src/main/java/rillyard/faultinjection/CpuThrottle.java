package rillyard.faultinjection;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import rillyard.childprocess.ChildProcess;

/**
 * Limits the CPU time of processes as an exhausted CPU quota does: each is stopped for a share of every
 * {@value #PERIOD_MS} ms by SIGSTOP and SIGCONT. Thread-safe; each throttled process has a daemon thread.
 */
final class CpuThrottle implements AutoCloseable {
    /** Period in milliseconds, the default of Linux CPU quotas. */
    private static final int PERIOD_MS = 100;

    private final Map<ChildProcess, Thread> threads = new ConcurrentHashMap<>();

    /**
     * Starts throttling a process; does nothing if it is throttled already.
     *
     * @param share share of its time for which the process is stopped, between 0 and 1
     */
    void begin(ChildProcess child, double share) {
        Thread thread = new Thread(() -> throttle(child, share), "starve-" + child.pid());
        thread.setDaemon(true);
        if (threads.putIfAbsent(child, thread) == null) {
            thread.start();
        }
    }

    private void throttle(ChildProcess child, double share) {
        try {
            while (child.isAlive() && threads.containsKey(child)) {
                child.pause();
                Thread.sleep((long) (share * PERIOD_MS));
                child.resume();
                Thread.sleep((long) ((1 - share) * PERIOD_MS));
            }
        } catch (IOException e) {
            // the process has ended, so that there is nothing left to throttle
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops throttling a process and waits until it runs again. */
    void end(ChildProcess child) throws InterruptedException {
        Thread thread = threads.remove(child);
        if (thread != null) {
            thread.join();
        }
    }

    @Override
    public void close() {
        for (ChildProcess process : threads.keySet()) {
            try {
                end(process);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
