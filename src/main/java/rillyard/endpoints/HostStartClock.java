package rillyard.endpoints;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Converts the start times of hosts, which endpoint lists state as Unix time of another machine, to the balancer's
 * monotonic clock, without relying on the wall clock of this machine where that could make a host look older than it is.
 *
 * <p>A host that is on a list received at {@code now} had started by then, so the clock of the lists is ahead of the
 * monotonic clock by at least {@code started - now}. The second largest of these lower bounds, each of another host, is
 * called the learnt offset: one host with a wrong clock can't raise it. The wall clock is trusted for a start that is
 * learnt while the lists are watched only if it is not ahead of the learnt offset, or of that start itself, by more than
 * {@link #TOLERANCE_MILLIS}. Otherwise the learnt offset is used, which makes a host younger, never older.
 *
 * <p>All times are in milliseconds. Not thread-safe.
 */
public final class HostStartClock {
    /** The time that a start takes to be learnt, at most, for the wall clock to count as confirmed by it. */
    static final double TOLERANCE_MILLIS = 500;

    /** The time within which discovery announces a change; a list may be outdated by as much. */
    static final double PROPAGATION_MILLIS = 6_000;

    /** Most hosts whose start is remembered, so that a host keeps its start while a list lacks it for a while. */
    static final int MAX_HOSTS = 16_384;

    /**
     * What is known of the start of a host.
     *
     * @param unixMillis the start as the lists state it
     * @param learntAt when it was first listed
     * @param isInitial whether it was learnt from the lists with which this process began
     * @param listedAt when discovery last listed it, negative infinity if only the cached list did
     * @param startedAt the start on the balancer's clock
     */
    private record HostStart(
            double unixMillis, double learntAt, boolean isInitial, double listedAt, double startedAt) {}

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
    private double largestOffset = Double.NEGATIVE_INFINITY;
    private double learntOffset = Double.NEGATIVE_INFINITY;
    private boolean hasWatchList;

    /**
     * Creates a clock that has learnt nothing.
     *
     * @param wallOffsetMillis the wall clock less the balancer's clock, as read once at the start
     * @param warmUpMillis the time for which a host is in slow start
     */
    public HostStartClock(double wallOffsetMillis, double warmUpMillis) {
        this.wallOffsetMillis = wallOffsetMillis;
        this.warmUpMillis = warmUpMillis;
    }

    /**
     * Learns from a list and returns the start of each of its hosts on the balancer's clock, 0 for long ago.
     *
     * <p>A host keeps its start for as long as the lists state the same. The result also holds hosts that the list does
     * not name, if it shows that they started later than was assumed and are still in slow start.
     *
     * @param isCached whether the list is the cached one that the process was started with
     * @param startedUnixMillis the start of each host as the list states it, 0 for long ago
     * @param now when the list was received
     */
    public Map<String, Double> onList(boolean isCached, Map<String, Double> startedUnixMillis, double now) {
        startedUnixMillis.forEach((host, unixMillis) -> observeOffset(host, unixMillis, now));
        Map<String, Double> startedAt = new LinkedHashMap<>();
        boolean isWallClockAhead = false;
        for (Map.Entry<String, Double> listed : startedUnixMillis.entrySet()) {
            String host = listed.getKey();
            double unixMillis = listed.getValue();
            isWallClockAhead |= isReplacedBeforeListed(starts.get(host), unixMillis - wallOffsetMillis, unixMillis);
            startedAt.put(host, learn(host, unixMillis, isCached, now));
        }
        if (isWallClockAhead) {
            correctInitialStarts(startedAt, now);
        }
        hasWatchList |= !isCached;
        return startedAt;
    }

    private void observeOffset(String host, double unixMillis, double now) {
        HostStart known = starts.get(host);
        if (unixMillis <= 0 || (known != null && known.unixMillis == unixMillis)) {
            return;
        }
        double offset = unixMillis - now;
        if (offset <= largestOffset) {
            if (!host.equals(hostOfLargestOffset)) {
                learntOffset = Math.max(learntOffset, offset);
            }
            return;
        }
        if (!host.equals(hostOfLargestOffset)) {
            learntOffset = largestOffset;
            hostOfLargestOffset = host;
        }
        largestOffset = offset;
    }

    private double learn(String host, double unixMillis, boolean isCached, double now) {
        HostStart known = starts.get(host);
        double listedAt = isCached ? Double.NEGATIVE_INFINITY : now;
        if (known != null && known.unixMillis == unixMillis) {
            starts.put(host, new HostStart(unixMillis, known.learntAt, known.isInitial, listedAt, known.startedAt));
            return known.startedAt;
        }
        double startedAt = unixMillis <= 0 ? 0 : Math.max(0, newStart(known, unixMillis, now));
        starts.put(host, new HostStart(unixMillis, now, !hasWatchList, listedAt, startedAt));
        return startedAt;
    }

    private double newStart(HostStart known, double unixMillis, double now) {
        double startedAt = Math.min(now, unixMillis - offset(unixMillis, now));
        boolean hasHostClockGoneBack = known != null && unixMillis < known.unixMillis;
        return hasHostClockGoneBack || isReplacedBeforeListed(known, startedAt, unixMillis) ? now : startedAt;
    }

    /** Returns how far the clock of the lists is ahead of the balancer's, too little rather than too much. */
    private double offset(double unixMillis, double now) {
        boolean isConfirmed = wallOffsetMillis <= Math.max(learntOffset, unixMillis - now) + TOLERANCE_MILLIS;
        return !hasWatchList || isConfirmed ? Math.max(wallOffsetMillis, learntOffset) : learntOffset;
    }

    /** Whether a new process of a host would have started before discovery still listed the former one. */
    private static boolean isReplacedBeforeListed(HostStart former, double startedAt, double unixMillis) {
        return former != null
                && former.unixMillis != unixMillis
                && unixMillis > 0
                && startedAt < former.listedAt - PROPAGATION_MILLIS;
    }

    /** Corrects the starts that rest on the wall clock alone, as it has turned out to be ahead. */
    private void correctInitialStarts(Map<String, Double> corrected, double now) {
        for (Map.Entry<String, HostStart> entry : starts.entrySet()) {
            HostStart known = entry.getValue();
            double startedAt = Math.min(known.learntAt, known.unixMillis - learntOffset);
            boolean isLater = startedAt > known.startedAt && now - startedAt < warmUpMillis;
            if (known.isInitial && known.unixMillis > 0 && isLater) {
                entry.setValue(new HostStart(known.unixMillis, known.learntAt, true, known.listedAt, startedAt));
                corrected.put(entry.getKey(), startedAt);
            }
        }
    }
}
