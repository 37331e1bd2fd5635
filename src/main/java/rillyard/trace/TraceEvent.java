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
 * @param durationMillis how long an attempt took, or 0 for other events
 * @param warmingUp whether the host was in its slow start when the attempt was sent
 */
public record TraceEvent(
        long unixMillis, Kind kind, String host, String detail, long durationMillis, boolean warmingUp) {
    /** The value of {@code host} and {@code detail} if there is none. */
    public static final String NONE = "-";

    /** Start of the event in a line, after any prefix that a supervisor adds. */
    private static final String LINE_PREFIX = "rillyard: trace ";

    private static final int FIELD_COUNT = 6;

    private static final Pattern FIELD_BREAK = Pattern.compile("[\\s\\p{Cntrl}]");

    /** Kinds of events; the trace contains their names in lower case. */
    public enum Kind {
        /** The process has started; the connections of an earlier one are closed. */
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
        // Host names come from discovery: a name must not split the line into more fields or lines.
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
     * @return the event, or null if the line contains no event
     * @throws IllegalArgumentException if the event is incomplete, as the last one of a killed process may be
     */
    public static TraceEvent parse(String line) {
        int start = line.indexOf(LINE_PREFIX);
        if (start < 0) {
            return null;
        }
        String[] fields = line.substring(start + LINE_PREFIX.length()).split(" ", 0);
        if (fields.length != FIELD_COUNT || !(fields[5].equals("cold") || fields[5].equals("warm"))) {
            throw new IllegalArgumentException(
                    "expected " + FIELD_COUNT + " fields after '" + LINE_PREFIX + "': " + line);
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
