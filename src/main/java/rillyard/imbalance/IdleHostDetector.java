package rillyard.imbalance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Finds hosts that got nothing while others queued. */
final class IdleHostDetector {
    /** Work that waited longer than that (us) queued. */
    private static final long QUEUED = 5_000;

    private final List<HostArrival> arrivals;
    private final HostAvailability hosts;

    /** Arrivals in the order of their times. */
    IdleHostDetector(List<HostArrival> arrivals, HostAvailability hosts) {
        this.arrivals = arrivals;
        this.hosts = hosts;
    }

    /** All pauses of at least so long (us) while the host was there, in the order of their times. */
    List<IdleHost> find(long least) {
        Map<String, List<Long>> byHost = new HashMap<>();
        arrivals.forEach(arrival ->
                byHost.computeIfAbsent(arrival.host(), h -> new ArrayList<>()).add(arrival.at()));
        List<IdleHost> pauses = new ArrayList<>();
        // Before the first request came and after the last nobody is idle.
        long began = arrivals.isEmpty() ? 0 : arrivals.get(0).at();
        long over = arrivals.isEmpty() ? 0 : arrivals.get(arrivals.size() - 1).at();
        for (Map.Entry<String, List<long[]>> e : hosts.spans().entrySet()) {
            for (long[] span : e.getValue()) {
                long from = Math.max(began, span[0]);
                long until = Math.min(over, span[1]);
                for (long at : byHost.getOrDefault(e.getKey(), List.of())) {
                    if (at >= from && at < until) {
                        pause(e.getKey(), from, at, least, pauses);
                        from = at;
                    }
                }
                pause(e.getKey(), from, until, least, pauses);
            }
        }
        double bound = HerdDetector.FALSE_ALARM
                / Math.max(1, arrivals.size() + hosts.spans().size());
        pauses.removeIf(host -> host.queued() == 0 || host.probability() >= bound);
        pauses.sort(Comparator.comparingLong(IdleHost::from));
        return pauses;
    }

    private void pause(String host, long from, long until, long least, List<IdleHost> to) {
        if (until - from < least) {
            return;
        }
        int missed = 0;
        int queued = 0;
        for (int i = after(from); i < arrivals.size() && arrivals.get(i).at() < until; i++) {
            HostArrival arrival = arrivals.get(i);
            if (!arrival.host().equals(host)) {
                missed++;
                queued += arrival.waited() > QUEUED ? 1 : 0;
            }
        }
        to.add(new IdleHost(
                host, from, until, missed, queued, MultinomialBaseline.none(missed, hosts.share(host, from))));
    }

    /** The first arrival after a time. */
    private int after(long at) {
        int low = 0;
        int high = arrivals.size();
        while (low < high) {
            int mid = (low + high) >>> 1;
            if (arrivals.get(mid).at() <= at) {
                low = mid + 1;
            } else {
                high = mid;
            }
        }
        return low;
    }
}
