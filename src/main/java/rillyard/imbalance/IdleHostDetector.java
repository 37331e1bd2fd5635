package rillyard.imbalance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds hosts that got no request while requests queued at others. Times are microseconds. */
final class IdleHostDetector {
    /** Queue time above which a request counts as queued. */
    private static final long QUEUED_MICROS = 5_000;

    private final List<HostArrival> arrivals;
    private final HostAvailability hosts;

    /** Creates a detector over arrivals in the order of their times. */
    IdleHostDetector(List<HostArrival> arrivals, HostAvailability hosts) {
        this.arrivals = arrivals;
        this.hosts = hosts;
    }

    /** Returns the hosts that were idle for {@code minDuration} or longer while they were available, in order of time. */
    List<IdleHost> find(long minDuration) {
        if (arrivals.isEmpty()) {
            return List.of();
        }
        Map<String, List<Long>> timesByHost = new HashMap<>();
        for (HostArrival arrival : arrivals) {
            timesByHost
                    .computeIfAbsent(arrival.host(), host -> new ArrayList<>())
                    .add(arrival.at());
        }
        List<IdleHost> pauses = new ArrayList<>();
        hosts.spans().forEach((host, spans) -> {
            List<Long> times = timesByHost.getOrDefault(host, List.of());
            spans.forEach(span -> addPauses(host, span, times, minDuration, pauses));
        });
        double threshold = HerdDetector.FALSE_ALARM_PROBABILITY
                / Math.max(1, arrivals.size() + hosts.spans().size());
        pauses.removeIf(pause -> pause.queuedElsewhere() == 0 || pause.probability() >= threshold);
        pauses.sort(Comparator.comparingLong(IdleHost::from));
        return pauses;
    }

    private void addPauses(
            String host, HostAvailability.Span span, List<Long> times, long minDuration, List<IdleHost> pauses) {
        // Before the first request of the run and after the last one no host is idle.
        long from = Math.max(arrivals.get(0).at(), span.from());
        long to = Math.min(arrivals.get(arrivals.size() - 1).at(), span.to());
        for (long at : times) {
            if (at >= from && at < to) {
                addPause(host, from, at, minDuration, pauses);
                from = at;
            }
        }
        addPause(host, from, to, minDuration, pauses);
    }

    private void addPause(String host, long from, long to, long minDuration, List<IdleHost> pauses) {
        if (to - from < minDuration) {
            return;
        }
        int elsewhere = 0;
        int queued = 0;
        for (int index = firstAfter(from);
                index < arrivals.size() && arrivals.get(index).at() < to;
                index++) {
            HostArrival arrival = arrivals.get(index);
            if (!arrival.host().equals(host)) {
                elsewhere++;
                queued += arrival.queueTime() > QUEUED_MICROS ? 1 : 0;
            }
        }
        double probability = MultinomialBaseline.probabilityOfNone(elsewhere, hosts.share(host, from));
        pauses.add(new IdleHost(host, from, to, elsewhere, queued, probability));
    }

    /** Returns the index of the first arrival after a time. */
    private int firstAfter(long time) {
        int low = 0;
        int high = arrivals.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (arrivals.get(middle).at() <= time) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
