package rillyard.endpoints;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Converts the start times of hosts, which endpoint lists state as Unix time of another machine, to the balancer's
 * monotonic clock. The wall clock of this machine is not used where that could make a host look older than it is.
 *
 * <p>A host that is on a list received at {@code now} had started by then, so the clock of the lists is ahead of the
 * monotonic clock by at least {@code started - now}. The second largest of these lower bounds, each of another host, is
 * called the learnt offset: one host with a wrong clock can't raise it. The wall clock is used for a start that is
 * learnt while the lists are watched only if it is not ahead of the learnt offset, or of that start itself, by more
 * than {@link #TOLERANCE_MILLIS}. Otherwise the learnt offset is used, which makes a host younger, never older.
 *
 * <p>All times are in milliseconds. Not thread-safe.
 */
public final class HostStartClock {
    /** The longest time between a start and its first listing with which the start confirms the wall clock. */
    static final double TOLERANCE_MILLIS = 500;

    /** The longest time until discovery announces a change; a list may be outdated by as much. */
    static final double PROPAGATION_MILLIS = 6_000;

    /** Maximum number of stored starts; a host keeps its start while lists lack it for a while. */
    static final int MAX_HOSTS = 16_384;

    /**
     * The known start of a host.
     *
     * @param unixMillis the start as the lists state it
     * @param learntAtMillis when a list first stated this start
     * @param isInitial whether it was learnt from the cached list or the first list of the watch
     * @param listedAtMillis when discovery last listed the host, negative infinity if only the cached list did
     * @param startedAtMillis the start on the balancer's clock
     */
    private record HostStart(
            double unixMillis,
            double learntAtMillis,
            boolean isInitial,
            double listedAtMillis,
            double startedAtMillis) {}

    private final double wallOffsetMillis;
    private final double warmUpMillis;
    private final Map<String, HostStart> starts = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, HostStart> eldest) {
            return size() > MAX_HOSTS;
        }
    };

    private String hostOfLargestOffset = "";
    private double largestOffsetMillis = Double.NEGATIVE_INFINITY;
    private double learntOffsetMillis = Double.NEGATIVE_INFINITY;
    private boolean hasWatchList;

    /**
     * Creates a clock that has learnt no start.
     *
     * @param wallOffsetMillis the wall clock minus the balancer's clock, read once at the start of the process
     * @param warmUpMillis the time for which a host is in slow start
     */
    public HostStartClock(double wallOffsetMillis, double warmUpMillis) {
        this.wallOffsetMillis = wallOffsetMillis;
        this.warmUpMillis = warmUpMillis;
    }

    /**
     * Learns from a list and returns the start of each of its hosts on the balancer's clock, 0 for long ago.
     *
     * <p>A host keeps its start as long as the lists state the same time. The result also contains hosts that are not
     * on the list, if the list shows that they started later than assumed and are still in slow start.
     *
     * @param isCached whether the list is the cached one that the process was started with
     * @param startedUnixMillis the start of each host as the list states it, 0 for long ago
     * @param nowMillis when the list was received
     */
    public Map<String, Double> onList(boolean isCached, Map<String, Double> startedUnixMillis, double nowMillis) {
        startedUnixMillis.forEach((host, unixMillis) -> observeOffset(host, unixMillis, nowMillis));
        Map<String, Double> startedAtMillis = new LinkedHashMap<>();
        boolean isWallClockAhead = false;
        for (Map.Entry<String, Double> listed : startedUnixMillis.entrySet()) {
            String host = listed.getKey();
            double unixMillis = listed.getValue();
            isWallClockAhead |=
                    hasStartedBeforeFormerListing(starts.get(host), unixMillis - wallOffsetMillis, unixMillis);
            startedAtMillis.put(host, learn(host, unixMillis, isCached, nowMillis));
        }
        if (isWallClockAhead) {
            correctInitialStarts(startedAtMillis, nowMillis);
        }
        hasWatchList |= !isCached;
        return startedAtMillis;
    }

    private void observeOffset(String host, double unixMillis, double nowMillis) {
        HostStart known = starts.get(host);
        if (unixMillis <= 0 || (known != null && known.unixMillis == unixMillis)) {
            return;
        }
        double offsetMillis = unixMillis - nowMillis;
        if (offsetMillis <= largestOffsetMillis) {
            if (!host.equals(hostOfLargestOffset)) {
                learntOffsetMillis = Math.max(learntOffsetMillis, offsetMillis);
            }
            return;
        }
        if (!host.equals(hostOfLargestOffset)) {
            learntOffsetMillis = largestOffsetMillis;
            hostOfLargestOffset = host;
        }
        largestOffsetMillis = offsetMillis;
    }

    private double learn(String host, double unixMillis, boolean isCached, double nowMillis) {
        HostStart known = starts.get(host);
        double listedAtMillis = isCached ? Double.NEGATIVE_INFINITY : nowMillis;
        if (known != null && known.unixMillis == unixMillis) {
            starts.put(
                    host,
                    new HostStart(
                            unixMillis, known.learntAtMillis, known.isInitial, listedAtMillis, known.startedAtMillis));
            return known.startedAtMillis;
        }
        double startedAtMillis = unixMillis <= 0 ? 0 : Math.max(0, newStart(known, unixMillis, nowMillis));
        starts.put(host, new HostStart(unixMillis, nowMillis, !hasWatchList, listedAtMillis, startedAtMillis));
        return startedAtMillis;
    }

    private double newStart(HostStart known, double unixMillis, double nowMillis) {
        double startedAtMillis = Math.min(nowMillis, unixMillis - offsetMillis(unixMillis, nowMillis));
        boolean hasHostClockGoneBack = known != null && unixMillis < known.unixMillis;
        return hasHostClockGoneBack || hasStartedBeforeFormerListing(known, startedAtMillis, unixMillis)
                ? nowMillis
                : startedAtMillis;
    }

    /** Returns by how much the clock of the lists is ahead of the balancer's; if in doubt, too little. */
    private double offsetMillis(double unixMillis, double nowMillis) {
        boolean isConfirmed =
                wallOffsetMillis <= Math.max(learntOffsetMillis, unixMillis - nowMillis) + TOLERANCE_MILLIS;
        return !hasWatchList || isConfirmed ? Math.max(wallOffsetMillis, learntOffsetMillis) : learntOffsetMillis;
    }

    /**
     * Returns whether the start of a host's new process is implausible: it lies more than {@link #PROPAGATION_MILLIS}
     * before the last listing of the former process.
     */
    private static boolean hasStartedBeforeFormerListing(HostStart former, double startedAtMillis, double unixMillis) {
        return former != null
                && former.unixMillis != unixMillis
                && unixMillis > 0
                && startedAtMillis < former.listedAtMillis - PROPAGATION_MILLIS;
    }

    /** Corrects the starts that were computed with the wall clock alone, which has turned out to be ahead. */
    private void correctInitialStarts(Map<String, Double> corrected, double nowMillis) {
        for (Map.Entry<String, HostStart> entry : starts.entrySet()) {
            HostStart known = entry.getValue();
            double startedAtMillis = Math.min(known.learntAtMillis, known.unixMillis - learntOffsetMillis);
            boolean isLater = startedAtMillis > known.startedAtMillis && nowMillis - startedAtMillis < warmUpMillis;
            if (known.isInitial && known.unixMillis > 0 && isLater) {
                entry.setValue(new HostStart(
                        known.unixMillis, known.learntAtMillis, true, known.listedAtMillis, startedAtMillis));
                corrected.put(entry.getKey(), startedAtMillis);
            }
        }
    }
}
