package rillyard.proxy.lifecycle;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Says on standard error how far a start has come and what it took so far, where the property
 * {@code rillyard.marks} is {@code true}; {@code measure start} asks for it. A mark itself takes
 * less than a millisecond.
 */
public final class StartupTimeline {
    private static final boolean ON = Boolean.getBoolean("rillyard.marks");

    /** Where Linux tells user and system time of this process, in ticks, fields 14 and 15 of proc(5). */
    private static final String STAT = "/proc/self/stat";

    private static final long TICK_MS = 10;

    private StartupTimeline() {}

    /** One line: {@code mark NAME}, the monotonic clock in ns, and CPU time in ms, -1 if not told. */
    public static void at(String name) {
        if (ON) {
            System.err.println("rillyard: mark " + name + " " + System.nanoTime() + " " + cpuMillis());
        }
    }

    private static long cpuMillis() {
        try (FileInputStream in = new FileInputStream(STAT)) {
            String all = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
            String[] fields = all.substring(all.lastIndexOf(')') + 2).split(" ");
            return TICK_MS * (Long.parseLong(fields[11]) + Long.parseLong(fields[12]));
        } catch (IOException | RuntimeException e) {
            return -1; // another system than Linux
        }
    }
}
