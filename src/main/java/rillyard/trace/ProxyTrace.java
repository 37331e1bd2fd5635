package rillyard.trace;

import java.io.PrintStream;

/**
 * Writes down what a proxy does to hosts and discovery, a line for each thing. It costs about as much
 * as a log line for each attempt, so it is for finding causes and not for service. Not safe for use from
 * several threads at once.
 */
public final class ProxyTrace {
    /** The property that asks for it, by {@code true}; without it nothing of this package is loaded. */
    public static final String PROPERTY = "rillyard.trace";

    private final PrintStream out;

    /** Lines go to {@code out}, which flushes each of them: a killed process keeps what it wrote. */
    public ProxyTrace(PrintStream out) {
        this.out = out;
        write(TraceEvent.Kind.STARTED, TraceEvent.NONE, TraceEvent.NONE, 0, false);
    }

    /** Something that concerns a host, or {@link TraceEvent#NONE}, and has no result of its own. */
    public void record(TraceEvent.Kind what, String host) {
        write(what, host, TraceEvent.NONE, 0, false);
    }

    /** An attempt has ended, {@code spent} ms after it was sent to a host that was cold then, or not. */
    public void recordAttempt(String host, String outcome, double spent, boolean cold) {
        write(TraceEvent.Kind.ATTEMPT, host, outcome, Math.round(spent), cold);
    }

    /** A request got its final answer from this proxy; {@code last} is null where nothing was sent. */
    public void recordRejection(TraceEvent.Kind what, String last) {
        write(what, TraceEvent.NONE, last == null ? TraceEvent.NONE : last, 0, false);
    }

    private void write(TraceEvent.Kind what, String host, String how, long spent, boolean cold) {
        out.println(new TraceEvent(System.currentTimeMillis(), what, host, how, spent, cold).text());
    }
}
