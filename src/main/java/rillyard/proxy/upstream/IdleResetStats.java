package rillyard.proxy.upstream;

/**
 * How often a connection that stood idle for so long turned out to be gone once a request was on it.
 * Guards against hosts, or what lies on the way to them, that forget connections sooner than is
 * stated and say nothing: the request ends as a reset and may have run. It should serve for any
 * such limit, as it is learned; it forgets, so that a limit that is gone costs new connections for
 * some seconds only. Resets that have nothing to do with idling meet short pauses as well.
 */
final class IdleResetStats {
    private static final int PAUSES = 16;

    /** Time constant (ns) at which what was seen is forgotten. */
    private static final double FADE_NANOS = 10e9;

    /** Uses of a pause that tell enough of it. */
    private static final double ENOUGH = 3;

    /** Part of uses that may break beyond those after the shortest pauses. */
    private static final double MARGIN = 0.1;

    private final double[] uses = new double[PAUSES];
    private final double[] breaks = new double[PAUSES];
    private final long[] at = new long[PAUSES];

    void used(long idleNanos, boolean broke, long now) {
        int p = pause(idleNanos);
        fade(p, now);
        uses[p]++;
        breaks[p] += broke ? 1 : 0;
    }

    boolean risky(long idleNanos, long now) {
        int p = pause(idleNanos);
        fade(p, now);
        fade(0, now);
        fade(1, now);
        double usual = (breaks[0] + breaks[1]) / Math.max(1, uses[0] + uses[1]);
        return p > 1 && uses[p] >= ENOUGH && breaks[p] / uses[p] > usual + MARGIN;
    }

    /** Pauses by powers of two: up to 16 ms, 32 ms and so on. */
    private static int pause(long idleNanos) {
        long units = idleNanos / 16_000_000;
        return Math.min(PAUSES - 1, Long.SIZE - Long.numberOfLeadingZeros(units));
    }

    private void fade(int p, long now) {
        double left = Math.exp((at[p] - now) / FADE_NANOS);
        uses[p] *= left;
        breaks[p] *= left;
        at[p] = now;
    }
}
