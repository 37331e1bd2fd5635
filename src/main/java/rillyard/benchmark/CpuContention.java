package rillyard.benchmark;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Contends for a core with busy processes, so that another process gets only a share of it.
 *
 *
 * <p>With n busy processes, Linux's fair scheduler gives a process that is always busy 1 / (n + 1) of the core, in
 * slices of some milliseconds. A process that mostly sleeps is favoured when it wakes. The share is therefore accurate
 * for a start, which is busy throughout, and more generous than a quota for what follows.
 */
public final class CpuContention implements AutoCloseable {
    private final List<Process> processes = new ArrayList<>();

    /**
     * Starts the busy processes.
     *
     * @param core the core, in the syntax of {@code taskset -c}
     * @param share share of the core to leave, above 0 and up to 1; rounded to one over an integer
     * @throws IOException if a process can't be started, for example because {@code taskset} is missing
     */
    public CpuContention(String core, double share) throws IOException {
        int count = (int) Math.round(1 / share) - 1;
        for (int i = 0; i < count; i++) {
            processes.add(
                    new ProcessBuilder("/usr/bin/taskset", "-c", core, "/bin/sh", "-c", "while :; do :; done").start());
        }
    }

    /**
     * Checks that all busy processes are running, as otherwise results for a whole core would be reported as those for
     * a share.
     *
     * @throws IllegalStateException if one has ended
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
