package rillyard.trace;

import java.io.PrintStream;

/**
 * Writes the events of a proxy's connections, requests and endpoint watch, one line per event.
 *
 * <p>It costs about as much as a log line for each attempt, so it is for analysis and not for production. Not
 * thread-safe.
 */
public final class ProxyTrace {
    /** The system property that enables the trace if {@code true}; without it no class of this package is loaded. */
    public static final String PROPERTY = "rillyard.trace";

    private final PrintStream out;

    /** Creates a trace; {@code out} must flush each line, so that no line is lost if the process is killed. */
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
     * @param elapsedMillis the time since the attempt was sent
     * @param isWarmingUp whether the host was in its slow start when the attempt was sent
     */
    public void recordAttempt(String host, String outcome, double elapsedMillis, boolean isWarmingUp) {
        write(TraceEvent.Kind.ATTEMPT, host, outcome, Math.round(elapsedMillis), isWarmingUp);
    }

    /** Records a final response that the proxy itself sent; {@code lastOutcome} is null if no attempt was made. */
    public void recordRejection(TraceEvent.Kind kind, String lastOutcome) {
        write(kind, TraceEvent.NONE, lastOutcome == null ? TraceEvent.NONE : lastOutcome, 0, false);
    }

    private void write(TraceEvent.Kind kind, String host, String detail, long durationMillis, boolean isWarmingUp) {
        out.println(new TraceEvent(System.currentTimeMillis(), kind, host, detail, durationMillis, isWarmingUp).text());
    }
}
