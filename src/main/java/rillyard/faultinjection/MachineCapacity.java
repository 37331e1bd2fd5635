package rillyard.faultinjection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Whether a machine has what a fault-injection run takes; where it can't be told, nothing is rejected. */
final class MachineCapacity {
    /** What a process takes (KiB): some 70 MB resident, and room for what it grows by. */
    private static final long EACH_KB = 90_000;

    /** Descriptors of this process for each way from a process to a host: its listener, and two connections' ends. */
    private static final long EACH_WAY = 3;

    private static final long SPARE = 500;

    private MachineCapacity() {}

    /**
     * Checks memory, and this process's descriptors.
     *
     * @throws IOException that says what is there, what is needed, and how many processes would do
     */
    static void check(int processes, int hosts) throws IOException {
        long kb = number(Path.of("/proc/meminfo"), "MemAvailable:");
        if (kb >= 0 && kb < processes * EACH_KB) {
            throw new IOException(processes + " processes take some " + processes * EACH_KB / 1_000 + " MB, "
                    + kb / 1_000 + " MB are free: " + kb / EACH_KB + " would do");
        }
        long files = number(Path.of("/proc/self/limits"), "Max open files");
        long each = 2 + EACH_WAY * (hosts + 1);
        if (files >= 0 && files < SPARE + processes * each) {
            throw new IOException(processes + " processes with " + hosts + " hosts take some "
                    + (SPARE + processes * each) + " descriptors, " + files + " may be open (ulimit -n): "
                    + Math.max(0, (files - SPARE) / each) + " would do");
        }
    }

    /** The first number on the line that begins so; -1 where there is none. */
    private static long number(Path file, String begins) throws IOException {
        if (!Files.exists(file)) {
            return -1;
        }
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith(begins)) {
                String[] words = line.substring(begins.length()).strip().split("\\s+");
                return words[0].matches("\\d{1,18}") ? Long.parseLong(words[0]) : -1;
            }
        }
        return -1;
    }
}
