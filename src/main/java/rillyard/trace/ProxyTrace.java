package rillyard.trace;

import java.io.PrintStream;

/**
 * Writes what a proxy does to hosts and discovery, one line an event.
 *
 * <p>It costs about as much as a log line for each attempt, so it is for analysis and not for production. Not
 * thread-safe.
 */
public final class ProxyTrace {
    /** The system property that enables it by {@code true}; without it no class of this package is loaded. */
    public static final String PROPERTY = "rillyard.trace";

    private final PrintStream out;

    /** Creates a trace; {@code out} must flush each line, so that nothing is lost with a killed process. */
    public ProxyTrace(PrintStream out) {
        this.out = out;
        write(TraceEvent.Kind.STARTED, TraceEvent.NONE, TraceEvent.NONE, 0, false);
    }

    /** Records an event without an outcome; the host is {@link TraceEvent#NONE} if it concerns none. */
    public void record(TraceEvent.Kind kind, String host) {
        write(kind, host, TraceEvent.NONE, 0, false);
    }

    /**
     * Records the end of an attempt.
     *
     * @param spentMillis milliseconds since it was sent
     * @param isWarmingUp whether the host was in its slow start then
     */
    public void recordAttempt(String host, String outcome, double spentMillis, boolean isWarmingUp) {
        write(TraceEvent.Kind.ATTEMPT, host, outcome, Math.round(spentMillis), isWarmingUp);
    }

    /** Records a final response of the proxy itself; {@code lastOutcome} is null if no attempt was made. */
    public void recordRejection(TraceEvent.Kind kind, String lastOutcome) {
        write(kind, TraceEvent.NONE, lastOutcome == null ? TraceEvent.NONE : lastOutcome, 0, false);
    }

    private void write(TraceEvent.Kind kind, String host, String detail, long durationMillis, boolean isWarmingUp) {
        out.println(new TraceEvent(System.currentTimeMillis(), kind, host, detail, durationMillis, isWarmingUp).text());
    }
}
