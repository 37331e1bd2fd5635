package rillyard.faultinjection;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import rillyard.childprocess.ChildProcess;

/**
 * Gives processes a share of their core only: each stands still for the rest of every {@value #PERIOD_MS} ms, as
 * under a quota of processor time that is used up.
 */
final class CpuThrottle implements AutoCloseable {
    /** The period (ms) that quotas of processor time usually have. */
    private static final int PERIOD_MS = 100;

    private final Map<ChildProcess, Thread> threads = new ConcurrentHashMap<>();

    /** Has it stand still for this share of its time until {@link #end}. */
    void begin(ChildProcess child, double share) {
        Thread thread = new Thread(() -> starve(child, share), "starve-" + child.pid());
        thread.setDaemon(true);
        if (threads.putIfAbsent(child, thread) == null) {
            thread.start();
        }
    }

    private void starve(ChildProcess child, double share) {
        try {
            while (child.isAlive() && threads.containsKey(child)) {
                child.pause();
                Thread.sleep((long) (share * PERIOD_MS));
                child.resume();
                Thread.sleep((long) ((1 - share) * PERIOD_MS));
            }
        } catch (IOException e) {
            // it has ended meanwhile
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Has it run as before; returns once it does. */
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
