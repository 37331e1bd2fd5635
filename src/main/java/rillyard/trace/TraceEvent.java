package rillyard.trace;

import java.util.Locale;
import java.util.regex.Pattern;

/**
 * One event in the trace of a proxy.
 *
 * @param unixMillis when it ended
 * @param kind the kind of event
 * @param host the host it concerns, or {@link #NONE}
 * @param detail the outcome of an attempt, or {@link #NONE}
 * @param durationMillis how long it took, or 0 where that is of no interest
 * @param warmingUp whether the host was in its slow start when the attempt was sent
 */
public record TraceEvent(
        long unixMillis, Kind kind, String host, String detail, long durationMillis, boolean warmingUp) {
    /** Stands for no host and no detail. */
    public static final String NONE = "-";

    /** Begins a line, behind whatever a supervisor puts before it. */
    private static final String LINE_PREFIX = "rillyard: trace ";

    private static final int FIELD_COUNT = 6;

    private static final Pattern FIELD_BREAK = Pattern.compile("[\\s\\p{Cntrl}]");

    /** Kinds of events; their names in lower case stand in the trace. */
    public enum Kind {
        /** The process has started; connections of an earlier one are closed. */
        STARTED,
        /** A connection to a host was established. */
        CONNECTED,
        /** A connect failed, or was no longer needed when it ended. */
        CONNECT_FAILED,
        /** A connection to a host was closed by either side. */
        CLOSED,
        /** An attempt has ended; the detail is its outcome. */
        ATTEMPT,
        /** A request was rejected; the detail is the outcome of its last attempt, if there was one. */
        REFUSED,
        /** A request has failed; the detail is the outcome of its last attempt, if there was one. */
        FAILED,
        /** A watch on the endpoint list is being opened. */
        LIST
    }

    /** Returns the line of the event. */
    public String text() {
        // Discovery names hosts: a name must not break the line into more fields or lines.
        String hostField = FIELD_BREAK.matcher(host).replaceAll("_");
        return LINE_PREFIX
                + unixMillis
                + ' '
                + kind.name().toLowerCase(Locale.ROOT)
                + ' '
                + hostField
                + ' '
                + detail
                + ' '
                + durationMillis
                + (warmingUp ? " cold" : " warm");
    }

    /**
     * Parses a line of a log.
     *
     * @return the event, or null if the line is no event
     * @throws IllegalArgumentException if the line begins as an event and is incomplete, as the last one of a killed
     *     process may be
     */
    public static TraceEvent parse(String line) {
        int start = line.indexOf(LINE_PREFIX);
        if (start < 0) {
            return null;
        }
        String[] fields = line.substring(start + LINE_PREFIX.length()).split(" ", 0);
        if (fields.length != FIELD_COUNT || !(fields[5].equals("cold") || fields[5].equals("warm"))) {
            throw new IllegalArgumentException(
                    "expected " + FIELD_COUNT + " fields behind '" + LINE_PREFIX + "': " + line);
        }
        return new TraceEvent(
                Long.parseLong(fields[0]),
                Kind.valueOf(fields[1].toUpperCase(Locale.ROOT)),
                fields[2],
                fields[3],
                Long.parseLong(fields[4]),
                fields[5].equals("cold"));
    }
}
