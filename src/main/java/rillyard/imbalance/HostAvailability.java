package rillyard.imbalance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** When each host was available, and its share of the load. Times are microseconds. Not thread-safe. */
public final class HostAvailability {
    /** A time during which a host was available. */
    record Span(long from, long to) {
        boolean contains(long start, long end) {
            return from <= start && end <= to;
        }
    }

    private record Host(double weight, List<Span> spans) {
        boolean isAvailable(long from, long to) {
            return spans.stream().anyMatch(span -> span.contains(from, to));
        }
    }

    private final Map<String, Host> hosts = new TreeMap<>();

    /**
     * Adds a time during which a host was available.
     *
     * @param weight its capacity relative to the others, above 0; the first one stated counts
     */
    public void add(String host, double weight, long from, long until) {
        hosts.computeIfAbsent(host, name -> new Host(weight, new ArrayList<>()))
                .spans()
                .add(new Span(from, until));
    }

    /** Returns the shares of the load, which add up to 1, of the hosts that were available throughout. */
    Map<String, Double> shares(long from, long to) {
        Map<String, Double> weights = new TreeMap<>();
        double sum = 0;
        for (Map.Entry<String, Host> entry : hosts.entrySet()) {
            Host host = entry.getValue();
            if (host.isAvailable(from, to)) {
                weights.put(entry.getKey(), host.weight);
                sum += host.weight;
            }
        }
        double total = sum;
        weights.replaceAll((name, weight) -> weight / total);
        return weights;
    }

    /** Returns the share of one host among those available at a time, 0 if it was not. */
    double share(String host, long at) {
        double sum = 0;
        double own = 0;
        for (Map.Entry<String, Host> entry : hosts.entrySet()) {
            if (entry.getValue().isAvailable(at, at)) {
                sum += entry.getValue().weight;
                own = entry.getKey().equals(host) ? entry.getValue().weight : own;
            }
        }
        return sum == 0 ? 0 : own / sum;
    }

    /** Returns the times of availability by host, in the order in which they were added. */
    Map<String, List<Span>> spans() {
        Map<String, List<Span>> spans = new TreeMap<>();
        hosts.forEach((name, host) -> spans.put(name, List.copyOf(host.spans)));
        return spans;
    }
}
