package rillyard.proxy.upstream;

/**
 * Learns after which idle times connections turn out to be gone once a request is written to them.
 *
 * <p>Hosts, or middleboxes on the way to them, may drop idle connections earlier than configured and without notice; the
 * request then ends as a reset and may have run. Idle times are grouped by powers of two. Observations decay, so that
 * a limit that no longer exists costs new connections for some seconds only. Resets that are unrelated to idling
 * occur after short idle times as well, so the shortest groups serve as the baseline.
 *
 * <p>Times are nanoseconds of {@link System#nanoTime}. Not thread-safe.
 */
final class IdleResetStats {
    private static final int BUCKETS = 16;

    /** Buckets from 0 on whose reset rate is the baseline. */
    private static final int BASELINE_BUCKETS = 2;

    private static final long FIRST_BUCKET_NANOS = 16_000_000;

    /** Time constant at which observations decay. */
    private static final double DECAY_NANOS = 10e9;

    /** Decayed uses of a bucket below which its rate is not significant. */
    private static final double MIN_USES = 3;

    /** Reset rate above the baseline from which on connections are not reused. */
    private static final double MAX_EXCESS_RATE = 0.1;

    private final double[] uses = new double[BUCKETS];
    private final double[] resets = new double[BUCKETS];
    private final long[] updatedAt = new long[BUCKETS];

    /** Records that a connection was reused after it had been idle, and whether it was reset before any response. */
    void onReuse(long idleNanos, boolean wasReset, long now) {
        int bucket = bucketOf(idleNanos);
        decay(bucket, now);
        uses[bucket]++;
        resets[bucket] += wasReset ? 1 : 0;
    }

    /** Returns whether a connection that has been idle for so long is likely to be gone. */
    boolean isReuseRisky(long idleNanos, long now) {
        int bucket = bucketOf(idleNanos);
        decay(bucket, now);
        double baselineUses = 0;
        double baselineResets = 0;
        for (int i = 0; i < BASELINE_BUCKETS; i++) {
            decay(i, now);
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

    private void decay(int bucket, long now) {
        double remaining = Math.exp((updatedAt[bucket] - now) / DECAY_NANOS);
        uses[bucket] *= remaining;
        resets[bucket] *= remaining;
        updatedAt[bucket] = now;
    }
}
