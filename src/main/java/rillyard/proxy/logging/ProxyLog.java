package rillyard.proxy.logging;

import java.io.PrintStream;
import java.util.function.Supplier;
import rillyard.trace.ProxyTrace;

/** Lines for the people on call, on standard error; at most so many a second, the rest is counted. */
public final class ProxyLog {
    private static final int MAX_PER_SECOND = 50;

    private final PrintStream out;
    private final ProxyTrace trace;
    private long second;
    private int written;
    private long dropped;

    public ProxyLog(PrintStream out) {
        this(out, null);
    }

    /** {@code trace} is null where none was asked for. */
    public ProxyLog(PrintStream out, ProxyTrace trace) {
        this.out = out;
        this.trace = trace;
    }

    /** Where every thing done to hosts and discovery is written down, or null. */
    public ProxyTrace trace() {
        return trace;
    }

    public void info(String text) {
        info(() -> text);
    }

    /** A line that is made only if it is written. */
    public void info(Supplier<String> text) {
        if (admits()) {
            out.println("rillyard: " + text.get().replace('\n', ' ').replace('\r', ' '));
        }
    }

    /** A failure of our own code, with its stack. */
    public void error(String what, Throwable cause) {
        if (admits()) {
            out.println("rillyard: " + what);
            cause.printStackTrace(out);
        }
    }

    // Guards against a log that outgrows the machine when every request has something to say.
    private boolean admits() {
        long now = System.nanoTime() / 1_000_000_000L;
        if (now != second) {
            if (dropped > 0) {
                out.println("rillyard: " + dropped + " lines left out");
            }
            second = now;
            written = 0;
            dropped = 0;
        }
        if (written >= MAX_PER_SECOND) {
            dropped++;
            return false;
        }
        written++;
        return true;
    }
}
