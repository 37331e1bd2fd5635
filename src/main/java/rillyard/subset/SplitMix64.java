package rillyard.subset;

/** The finisher of SplitMix64 (Steele, Lea, Flood 2014): spreads numbers that are near each other. */
final class SplitMix64 {
    private static final long GOLDEN = 0x9E3779B97F4A7C15L;

    private SplitMix64() {}

    static long of(long a, long b) {
        return finish(finish(a + GOLDEN) ^ (b * GOLDEN));
    }

    private static long finish(long x) {
        long z = x;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}
