package rillyard.proxy.logging;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.function.Supplier;
import rillyard.trace.ProxyTrace;

/**
 * The log of a proxy for its operators: one line an event, rate-limited; lines above the limit are counted.
 *
 * <p>Thread-safe: configurations are reloaded on a thread of their own.
 */
public final class ProxyLog {
    private static final int MAX_LINES_PER_SECOND = 50;

    private static final String PREFIX = "rillyard: ";

    private final PrintStream out;
    private final ProxyTrace trace;
    private long currentSecond;
    private int writtenLines;
    private long droppedLines;

    /** Creates a log without a trace. */
    public ProxyLog(PrintStream out) {
        this(out, null);
    }

    /** Creates a log; {@code trace} may be null. */
    public ProxyLog(PrintStream out, ProxyTrace trace) {
        this.out = out;
        this.trace = trace;
    }

    /** Returns the trace of what is done to hosts and discovery, or null if there is none. */
    public ProxyTrace trace() {
        return trace;
    }

    /** Writes a line. */
    public void info(String text) {
        info(() -> text);
    }

    /** Writes a line whose text is only built if it is within the rate limit. */
    public synchronized void info(Supplier<String> text) {
        if (acquirePermit()) {
            out.println(PREFIX + printable(text.get()));
        }
    }

    /** Writes a failure of the program itself with its stack trace, each line of which counts within the rate limit. */
    public synchronized void error(String text, Throwable cause) {
        if (!acquirePermit()) {
            return;
        }
        out.println(PREFIX + printable(text));
        StringWriter trace = new StringWriter();
        cause.printStackTrace(new PrintWriter(trace));
        trace.toString().lines().filter(line -> acquirePermit()).forEach(line -> out.println(printable(line)));
    }

    /** Returns the text with a space for each control character, as hosts and clients determine parts of it. */
    private static String printable(String text) {
        StringBuilder printable = new StringBuilder(text);
        for (int i = 0; i < printable.length(); i++) {
            if (Character.isISOControl(printable.charAt(i)) && printable.charAt(i) != '\t') {
                printable.setCharAt(i, ' ');
            }
        }
        return printable.toString();
    }

    /** Returns whether a line is within the rate limit, and counts it. */
    private boolean acquirePermit() {
        long now = System.nanoTime() / 1_000_000_000L;
        if (now != currentSecond) {
            if (droppedLines > 0) {
                out.println(PREFIX + "log: lines dropped, count=" + droppedLines);
            }
            currentSecond = now;
            writtenLines = 0;
            droppedLines = 0;
        }
        if (writtenLines >= MAX_LINES_PER_SECOND) {
            droppedLines++;
            return false;
        }
        writtenLines++;
        return true;
    }
}
