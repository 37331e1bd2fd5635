package rillyard.trace;

import java.util.Locale;
import java.util.regex.Pattern;

/**
 * One thing that a proxy did.
 *
 * @param unixMillis when (Unix time, ms) it was over
 * @param kind what it was
 * @param host the host it concerns, or {@link #NONE}
 * @param detail how it ended: a result of the module's, or {@link #NONE}
 * @param durationMillis how long (ms) it took, where that is of interest
 * @param warmingUp whether the host was cold when the work was sent
 */
public record TraceEvent(
        long unixMillis, Kind kind, String host, String detail, long durationMillis, boolean warmingUp) {
    /** No host, or nothing to tell. */
    public static final String NONE = "-";

    /** What the lines begin with, behind whatever a supervisor puts before them. */
    private static final String MARK = "rillyard: trace ";

    private static final int FIELDS = 6;

    private static final Pattern SPACE = Pattern.compile("[\\s\\p{Cntrl}]");

    /** What a proxy does that others may feel. */
    public enum Kind {
        /** The process has begun: whatever it had open before is closed. */
        STARTED,
        /** A connection to a host is up. */
        CONNECTED,
        /** One did not come up, or was no longer wanted when it did. */
        CONNECT_FAILED,
        /** A connection to a host has ended, by whichever side. */
        CLOSED,
        /** An attempt has ended; {@code how} tells the result. */
        ATTEMPT,
        /** A request was refused; {@code how} tells its last attempt's result, if it had any. */
        REFUSED,
        /** A request has failed; {@code how} as above. */
        FAILED,
        /** A watch on the list was opened, or tried to. */
        LIST
    }

    /** The line as it is written. */
    public String text() {
        // Discovery names hosts: guards against a name that would make two fields, or two lines, of one.
        String named = SPACE.matcher(host).replaceAll("_");
        return MARK
                + unixMillis
                + ' '
                + kind.name().toLowerCase(Locale.ROOT)
                + ' '
                + named
                + ' '
                + detail
                + ' '
                + durationMillis
                + (warmingUp ? " cold" : " warm");
    }

    /**
     * Reads a line of a log.
     *
     * @return null if it is none of these
     * @throws IllegalArgumentException if it begins as one and is not whole, as the last one of a process
     *     that was killed may be
     */
    public static TraceEvent parse(String line) {
        int from = line.indexOf(MARK);
        if (from < 0) {
            return null;
        }
        String[] f = line.substring(from + MARK.length()).split(" ");
        if (f.length != FIELDS || !(f[5].equals("cold") || f[5].equals("warm"))) {
            throw new IllegalArgumentException("expected " + FIELDS + " fields behind '" + MARK + "': " + line);
        }
        return new TraceEvent(
                Long.parseLong(f[0]),
                Kind.valueOf(f[1].toUpperCase(Locale.ROOT)),
                f[2],
                f[3],
                Long.parseLong(f[4]),
                f[5].equals("cold"));
    }
}
