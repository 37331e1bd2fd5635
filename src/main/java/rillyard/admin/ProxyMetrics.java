package rillyard.admin;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts of one process, from 0 at its start. The proxy's loop adds, any thread may read. Written in
 * the plain form of statsd: {@code name:value|c} for a count, {@code |g} for a gauge.
 */
public final class ProxyMetrics {
    /** What came of a request. */
    public enum RequestOutcome {
        COMPLETED,
        REJECTED,
        FAILED;

        private final String figure = name().toLowerCase(java.util.Locale.ROOT);
    }

    private static final String PREFIX = "proxy.";

    private final Map<String, AtomicLong[]> byClass = new TreeMap<>();
    private final AtomicLong attempts = new AtomicLong();
    private final AtomicInteger pending = new AtomicInteger();
    private volatile int setHosts;
    private volatile int unavailableHosts;

    /** {@code classes} are the classes of requests; others are not counted. */
    public ProxyMetrics(Collection<String> classes) {
        for (String c : classes) {
            AtomicLong[] ends = new AtomicLong[RequestOutcome.values().length];
            for (int i = 0; i < ends.length; i++) {
                ends[i] = new AtomicLong();
            }
            byClass.put(c, ends);
        }
    }

    /** A request of this class has had its final answer. */
    public void requestEnded(String requestClass, RequestOutcome how) {
        AtomicLong[] ends = byClass.get(requestClass);
        if (ends != null) {
            ends[how.ordinal()].incrementAndGet();
        }
    }

    /** An attempt has been written whole to a host. */
    public void attemptWritten() {
        attempts.incrementAndGet();
    }

    /** Requests taken and not yet ended change by so many. */
    public void addPending(int change) {
        pending.addAndGet(change);
    }

    /** The hosts listed, and those of them that are avoided, by hand or by choice. */
    public void setHosts(int listed, int avoided) {
        setHosts = listed;
        unavailableHosts = avoided;
    }

    /** All of them, a line each. */
    public String text() {
        StringBuilder out = new StringBuilder(512);
        for (RequestOutcome end : RequestOutcome.values()) {
            byClass.forEach((name, ends) -> line(out, end.figure + "." + name, ends[end.ordinal()].get(), 'c'));
        }
        line(out, "upstream_requests", attempts.get(), 'c');
        line(out, "pending", pending.get(), 'g');
        line(out, "members", setHosts, 'g');
        line(out, "members_unavailable", unavailableHosts, 'g');
        return out.toString();
    }

    private static void line(StringBuilder out, String name, long value, char kind) {
        out.append(PREFIX)
                .append(name)
                .append(':')
                .append(value)
                .append('|')
                .append(kind)
                .append('\n');
    }
}
