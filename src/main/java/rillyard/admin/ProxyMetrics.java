package rillyard.admin;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The metrics of one process, counted from its start, in the text format of statsd.
 *
 * <p>A line is {@code name:value|c} for a counter and {@code name:value|g} for a gauge. The proxy's event loop updates
 * them; any thread may read.
 */
public final class ProxyMetrics {
    /** The final outcome of a request. */
    public enum RequestOutcome {
        /** A host's response was forwarded. */
        COMPLETED,
        /** The proxy rejected the request without sending it. */
        REJECTED,
        /** The request may have run, but no response was forwarded. */
        FAILED;

        private final String metricName = name().toLowerCase(Locale.ROOT);
    }

    private static final String PREFIX = "proxy.";

    /** Metric types of statsd. */
    private static final char COUNTER = 'c';

    private static final char GAUGE = 'g';

    private final Map<String, Map<RequestOutcome, AtomicLong>> endedByClass = new TreeMap<>();
    private final AtomicLong writtenAttempts = new AtomicLong();
    private final AtomicInteger pendingRequests = new AtomicInteger();
    private volatile int listedHosts;
    private volatile int avoidedHosts;

    /** Creates metrics for the given request classes; requests of other classes are not counted. */
    public ProxyMetrics(Collection<String> classes) {
        for (String requestClass : classes) {
            Map<RequestOutcome, AtomicLong> counters = new EnumMap<>(RequestOutcome.class);
            for (RequestOutcome outcome : RequestOutcome.values()) {
                counters.put(outcome, new AtomicLong());
            }
            endedByClass.put(requestClass, counters);
        }
    }

    /** Counts a request that has had a final response; one whose client disconnects before is not counted. */
    public void requestEnded(String requestClass, RequestOutcome outcome) {
        Map<RequestOutcome, AtomicLong> counters = endedByClass.get(requestClass);
        if (counters != null) {
            counters.get(outcome).incrementAndGet();
        }
    }

    /** Counts an attempt that has been written completely to a host. */
    public void attemptWritten() {
        writtenAttempts.incrementAndGet();
    }

    /** Changes the number of requests that were admitted and have not ended. */
    public void addPending(int change) {
        pendingRequests.addAndGet(change);
    }

    /** Sets the number of listed hosts, and how many of them are disabled or avoided. */
    public void setHosts(int listed, int avoided) {
        listedHosts = listed;
        avoidedHosts = avoided;
    }

    /** Returns the text of all metrics, one per line. */
    public String text() {
        StringBuilder out = new StringBuilder(512);
        for (RequestOutcome outcome : RequestOutcome.values()) {
            endedByClass.forEach((requestClass, counters) -> appendLine(
                    out,
                    outcome.metricName + "." + requestClass,
                    counters.get(outcome).get(),
                    COUNTER));
        }
        appendLine(out, "upstream_requests", writtenAttempts.get(), COUNTER);
        appendLine(out, "pending", pendingRequests.get(), GAUGE);
        appendLine(out, "members", listedHosts, GAUGE);
        appendLine(out, "members_unavailable", avoidedHosts, GAUGE);
        return out.toString();
    }

    private static void appendLine(StringBuilder out, String name, long value, char type) {
        out.append(PREFIX)
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(type)
                .append('\n');
    }
}
