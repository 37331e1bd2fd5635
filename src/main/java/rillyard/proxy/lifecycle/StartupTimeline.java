package rillyard.proxy.lifecycle;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Prints the times of the steps of a start on standard error, if the system property {@code rillyard.marks} is
 * {@code true}.
 *
 * <p>The command {@code measure start} reads the lines. A mark takes less than a millisecond.
 */
public final class StartupTimeline {
    private static final boolean ENABLED = Boolean.getBoolean("rillyard.marks");

    /** Linux file with the CPU time of the process, see proc(5). */
    private static final String STAT_FILE = "/proc/self/stat";

    /** Indexes of the user and system time (in ticks) among the fields after the process name. */
    private static final int USER_TIME_FIELD = 11;

    private static final int SYSTEM_TIME_FIELD = 12;
    private static final long MILLIS_PER_TICK = 10;

    private StartupTimeline() {}

    /** Prints {@code mark NAME}, the monotonic clock in ns, and the process's CPU time in ms, -1 if unknown. */
    public static void mark(String name) {
        if (ENABLED) {
            System.err.println("rillyard: mark " + name + " " + System.nanoTime() + " " + cpuMillis());
        }
    }

    private static long cpuMillis() {
        try (FileInputStream in = new FileInputStream(STAT_FILE)) {
            String stat = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return MILLIS_PER_TICK
                    * (Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]));
        } catch (IOException | RuntimeException e) {
            return -1; // not on Linux
        }
    }
}
