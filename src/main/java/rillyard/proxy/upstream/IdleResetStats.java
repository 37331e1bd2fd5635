package rillyard.proxy.upstream;

/**
 * Estimates after which idle times a connection is likely to be reset when a request is written to it.
 *
 * <p>Hosts, or middleboxes on the way to them, may drop idle connections earlier than configured and without notice;
 * the request then ends as a reset and may have been executed. Idle times are grouped in buckets by powers of two.
 * Observations decay, so that an idle limit that no longer exists causes new connections for some seconds only. Resets
 * that are unrelated to idling occur after short idle times as well, so the shortest buckets are the baseline.
 *
 * <p>Times are nanoseconds of {@link System#nanoTime}. Not thread-safe.
 */
final class IdleResetStats {
    private static final int BUCKETS = 16;

    /** Number of lowest buckets, whose reset rate is the baseline. */
    private static final int BASELINE_BUCKETS = 2;

    private static final long FIRST_BUCKET_NANOS = 16_000_000;

    /** Time constant at which observations decay. */
    private static final double DECAY_NANOS = 10e9;

    /** Decayed number of uses of a bucket below which its reset rate is not significant. */
    private static final double MIN_USES = 3;

    /** Reset rate above the baseline from which on connections are not reused. */
    private static final double MAX_EXCESS_RATE = 0.1;

    private final double[] uses = new double[BUCKETS];
    private final double[] resets = new double[BUCKETS];
    private final long[] updatedAtNanos = new long[BUCKETS];

    /** Records that a connection was reused after it had been idle, and whether it was reset before any response. */
    void onReuse(long idleNanos, boolean wasReset, long nowNanos) {
        int bucket = bucketOf(idleNanos);
        decay(bucket, nowNanos);
        uses[bucket]++;
        resets[bucket] += wasReset ? 1 : 0;
    }

    /** Returns whether a connection that has been idle for so long is likely to be reset. */
    boolean isReuseRisky(long idleNanos, long nowNanos) {
        int bucket = bucketOf(idleNanos);
        decay(bucket, nowNanos);
        double baselineUses = 0;
        double baselineResets = 0;
        for (int i = 0; i < BASELINE_BUCKETS; i++) {
            decay(i, nowNanos);
            baselineUses += uses[i];
            baselineResets += resets[i];
        }
        double baselineRate = baselineResets / Math.max(1, baselineUses);
        return bucket >= BASELINE_BUCKETS
                && uses[bucket] >= MIN_USES
                && resets[bucket] / uses[bucket] > baselineRate + MAX_EXCESS_RATE;
    }

    private static int bucketOf(long idleNanos) {
        long units = idleNanos / FIRST_BUCKET_NANOS;
        return Math.min(BUCKETS - 1, Long.SIZE - Long.numberOfLeadingZeros(units));
    }

    private void decay(int bucket, long nowNanos) {
        double remaining = Math.exp((updatedAtNanos[bucket] - nowNanos) / DECAY_NANOS);
        uses[bucket] *= remaining;
        resets[bucket] *= remaining;
        updatedAtNanos[bucket] = nowNanos;
    }
}
