package rillyard.proxy.logging;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.function.Supplier;
import rillyard.trace.ProxyTrace;

/**
 * The log of a proxy for its operators: one line per event, rate-limited; lines above the limit are only counted.
 *
 * <p>Thread-safe, as configurations are reloaded on other threads than the event loop.
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

    /** Returns the trace of the proxy's events, or null if there is none. */
    public ProxyTrace trace() {
        return trace;
    }

    /** Writes a line. */
    public void info(String text) {
        info(() -> text);
    }

    /** Writes a line; its text is built only if the line is within the rate limit. */
    public synchronized void info(Supplier<String> text) {
        if (acquirePermit()) {
            out.println(PREFIX + printable(text.get()));
        }
    }

    /** Writes an internal failure with its stack trace; each line counts towards the rate limit. */
    public synchronized void error(String text, Throwable cause) {
        if (!acquirePermit()) {
            return;
        }
        out.println(PREFIX + printable(text));
        StringWriter stackTrace = new StringWriter();
        cause.printStackTrace(new PrintWriter(stackTrace));
        stackTrace.toString().lines().filter(line -> acquirePermit()).forEach(line -> out.println(printable(line)));
    }

    /** Returns the text with control characters replaced by spaces, as parts of it come from hosts and clients. */
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
        long nowSeconds = System.nanoTime() / 1_000_000_000L;
        if (nowSeconds != currentSecond) {
            if (droppedLines > 0) {
                out.println(PREFIX + "log: lines dropped, count=" + droppedLines);
            }
            currentSecond = nowSeconds;
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
