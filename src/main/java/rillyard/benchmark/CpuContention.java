package rillyard.benchmark;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Processes that do nothing but turn, on a core that another process is to have a part of: with n
 * of them a process that is always busy gets 1 / (n + 1) of the core from Linux's fair scheduler,
 * in slices of some ms. One that mostly sleeps is favoured when it wakes, so this is true to a
 * start, which is all work, and kinder than a quota to what comes after it.
 */
public final class CpuContention implements AutoCloseable {
    private final List<Process> processes = new ArrayList<>();

    /**
     * Starts them.
     *
     * @param core the core, as {@code taskset -c} takes it
     * @param share the part of the core to be left, from above 0 to 1; rounded to one over a whole number
     * @throws IOException if one can't be started, as where {@code taskset} is missing
     */
    public CpuContention(String core, double share) throws IOException {
        int count = (int) Math.round(1 / share) - 1;
        for (int i = 0; i < count; i++) {
            processes.add(
                    new ProcessBuilder("/usr/bin/taskset", "-c", core, "/bin/sh", "-c", "while :; do :; done").start());
        }
    }

    /**
     * Prevents values of a whole core that are taken for those of a part.
     *
     * @throws IllegalStateException if one has ended by itself
     */
    public void checkRunning() {
        for (Process process : processes) {
            if (!process.isAlive()) {
                throw new IllegalStateException("a busy neighbour has ended by itself");
            }
        }
    }

    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
    }
}
