package rillyard.imbalance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** When each host was there to be sent to, and what share of the load it could bear. Times are microseconds. */
public final class HostAvailability {
    private record Span(long from, long until) {}

    private record Host(double weight, List<Span> spans) {}

    private final Map<String, Host> hosts = new TreeMap<>();

    /**
     * A host was there from a time until just before another.
     *
     * @param weight what it can bear, beside the others; above 0
     */
    public void add(String host, double weight, long from, long until) {
        hosts.computeIfAbsent(host, h -> new Host(weight, new ArrayList<>()))
                .spans()
                .add(new Span(from, until));
    }

    /** Whether it was there all of the time from one to the other. */
    boolean there(String host, long from, long until) {
        Host h = hosts.get(host);
        return h != null && h.spans.stream().anyMatch(span -> span.from <= from && until <= span.until);
    }

    /** The shares of the load, which sum up to 1, of those that were there all of the time. */
    Map<String, Double> shares(long from, long until) {
        Map<String, Double> out = new TreeMap<>();
        double sum = 0;
        for (Map.Entry<String, Host> e : hosts.entrySet()) {
            if (there(e.getKey(), from, until)) {
                out.put(e.getKey(), e.getValue().weight);
                sum += e.getValue().weight;
            }
        }
        double all = sum;
        out.replaceAll((h, w) -> w / all);
        return out;
    }

    /** The share of one, of those that were there at a time; 0 if it was not. */
    double share(String host, long at) {
        double sum = 0;
        double own = 0;
        for (Map.Entry<String, Host> e : hosts.entrySet()) {
            if (there(e.getKey(), at, at)) {
                sum += e.getValue().weight;
                own = e.getKey().equals(host) ? e.getValue().weight : own;
            }
        }
        return sum == 0 ? 0 : own / sum;
    }

    /** Names and spans, by host. */
    Map<String, List<long[]>> spans() {
        Map<String, List<long[]>> out = new TreeMap<>();
        hosts.forEach((h, host) -> out.put(
                h,
                host.spans.stream()
                        .map(span -> new long[] {span.from, span.until})
                        .toList()));
        return out;
    }
}
