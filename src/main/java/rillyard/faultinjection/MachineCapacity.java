package rillyard.faultinjection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Checks whether the machine has the memory and descriptors for a run; a limit that can't be read is not checked. */
final class MachineCapacity {
    /** Memory of one process in KiB: about 70 MB resident, and a reserve for growth. */
    private static final long KIB_PER_PROCESS = 90_000;

    /** Descriptors per relay, from a process to a host: the listener, and both sides of a connection. */
    private static final long DESCRIPTORS_PER_RELAY = 3;

    private static final long SPARE_DESCRIPTORS = 500;

    private MachineCapacity() {}

    /**
     * Checks the available memory and this process's descriptor limit.
     *
     * @throws IOException if either is insufficient; the message says what is available, what is needed, and how many
     *     processes would fit
     */
    static void check(int processes, int hosts) throws IOException {
        long availableKib = readNumber(Path.of("/proc/meminfo"), "MemAvailable:");
        if (availableKib >= 0 && availableKib < processes * KIB_PER_PROCESS) {
            throw new IOException(processes + " processes take some " + processes * KIB_PER_PROCESS / 1_000 + " MB, "
                    + availableKib / 1_000 + " MB are free: " + availableKib / KIB_PER_PROCESS + " would do");
        }
        long maxDescriptors = readNumber(Path.of("/proc/self/limits"), "Max open files");
        long descriptorsPerProcess = 2 + DESCRIPTORS_PER_RELAY * (hosts + 1);
        if (maxDescriptors >= 0 && maxDescriptors < SPARE_DESCRIPTORS + processes * descriptorsPerProcess) {
            throw new IOException(processes + " processes with " + hosts + " hosts take some "
                    + (SPARE_DESCRIPTORS + processes * descriptorsPerProcess) + " descriptors, " + maxDescriptors
                    + " may be open (ulimit -n): "
                    + Math.max(0, (maxDescriptors - SPARE_DESCRIPTORS) / descriptorsPerProcess) + " would do");
        }
    }

    /** Returns the first number on the line that starts with a prefix, or -1 if there is none. */
    private static long readNumber(Path file, String prefix) throws IOException {
        if (!Files.exists(file)) {
            return -1;
        }
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith(prefix)) {
                String[] words = line.substring(prefix.length()).strip().split("\\s+");
                return words[0].matches("\\d{1,18}") ? Long.parseLong(words[0]) : -1;
            }
        }
        return -1;
    }
}
